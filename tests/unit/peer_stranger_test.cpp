#include "net/frame_codec.hpp"
#include "net/handshake.hpp"
#include "support/mesh_process.hpp"
#include "support/raw_connection.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using tests::Field;
using tests::MeshProcess;
using tests::RawConnection;

std::string Text(const std::vector<std::uint8_t>& bytes)
{
  return { bytes.begin(), bytes.end() };
}

wire::HelloT StrangerHello()
{
  wire::HelloT hello;
  hello.process = "stranger";
  hello.role = "agent";
  hello.nonce = impl::MakeNonce();
  hello.protocol = impl::kProtocol;
  return hello;
}

// Bytes from an unauthenticated caller, and the step at which they must be refused.
struct Attack
{
  std::string name;
  std::string bytes;
  std::string step;
};

std::vector<Attack> Attacks()
{
  wire::HelloT otherVersion = StrangerHello();
  otherVersion.protocol = impl::kProtocol + 1;
  return {
    { "an HTTP request", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "read frame" },
    { "a frame over the limit for strangers", std::string("\x01\x10\x00\x00", 4), "read frame" },
    { "a frame of no bytes", std::string(4, '\0'), "read frame" },
    { "garbage of a fitting length", std::string("\x08\0\0\0garbage!", 12), "decode frame" },
    { "a message without a hello",
      Text(impl::EncodeFrame(*MakeEnvelope(wire::InForceT{}))),
      "read hello" },
    { "a hello of another protocol",
      Text(impl::EncodeFrame(*MakeEnvelope(otherVersion))),
      "read hello" },
    { "a hello and no proof",
      Text(impl::EncodeFrame(*MakeEnvelope(StrangerHello()))) +
        Text(impl::EncodeFrame(*MakeEnvelope(wire::HelloProofT{}))),
      "read proof" },
  };
}

TEST(PeerStranger, IsRefusedWithAnEventThatNamesStepAndAddressAndOthersAreServed)
{
  for (const Attack& attack : Attacks()) {
    SECTION(attack.name)
    {
      IoRuntime runtime;
      MeshProcess entry(runtime, "entry-1");
      MeshProcess agent(runtime, "agent-1");
      RawConnection stranger(runtime, entry.mesh.ListenAddress());
      ASSERT_TRUE(stranger.connected);
      const std::string address = ToAddress(stranger.socket.local_endpoint());
      ASSERT_TRUE(stranger.Write(attack.bytes));
      stranger.ReadToEnd();
      ASSERT_TRUE(entry.WaitFor([&] { return !entry.Events(EventNumber::kPeerRefused).empty(); }));
      const EventOut event = entry.Events(EventNumber::kPeerRefused)[0];
      EXPECT_EQ(Field(event, "step"), attack.step);
      EXPECT_EQ(Field(event, "address"), address);
      EXPECT_TRUE(entry.transitions.empty());

      agent.SendNumber(entry, 1, entry.mesh.ListenAddress());
      EXPECT_TRUE(entry.WaitFor([&] { return entry.numbers.size() == 1; }));
    }
  }
}

// Guards against exhausting the handshake slots by unauthenticated connections that send nothing,
// for example from a port scanner.
TEST(PeerStranger, AConnectionThatSendsNothingIsClosedAfterTheTimeout)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1", [](PeerMeshSettings& settings) {
    settings.dialTimeout = std::chrono::milliseconds(100);
  });
  RawConnection stranger(runtime, entry.mesh.ListenAddress());
  EXPECT_EQ(stranger.ReadToEnd(), "");
  ASSERT_EQ(entry.Events(EventNumber::kPeerRefused).size(), 1U);
  EXPECT_EQ(entry.mesh.Counters().refused, 1U);
}

TEST(PeerStranger, APeerThatSendsGarbageIsClosedAndReported)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  RawConnection peer(runtime, entry.mesh.ListenAddress());
  const wire::HelloT own = StrangerHello();
  ASSERT_TRUE(peer.Write(Text(impl::EncodeFrame(*MakeEnvelope(own)))));
  ASSERT_TRUE(peer.ReadSize(impl::kFramePrefixBytes));
  const auto low = static_cast<unsigned char>(peer.received[0]);
  const auto high = static_cast<unsigned char>(peer.received[1]);
  ASSERT_TRUE(peer.ReadSize(impl::kFramePrefixBytes + low + 256U * high));
  const std::vector<std::uint8_t> payload(peer.received.begin() + 4, peer.received.end());
  const auto hello = DecodeEnvelope(payload, "entry-1");
  ASSERT_TRUE(hello);
  const impl::Proof proof = impl::MakeProof(
    "a key of the tests", impl::ProofSide::kDialler, own, *hello.value()->body.AsHello());
  wire::HelloProofT message;
  message.proof.assign(proof.begin(), proof.end());
  ASSERT_TRUE(peer.Write(Text(impl::EncodeFrame(*MakeEnvelope(std::move(message))))));
  ASSERT_TRUE(entry.WaitForTransition("up stranger"));

  ASSERT_TRUE(peer.Write(std::string("\x08\0\0\0garbage!", 12)));
  ASSERT_TRUE(entry.WaitForTransition("down stranger"));
  ASSERT_EQ(entry.Events(EventNumber::kPeerMalformed).size(), 1U);
  EXPECT_EQ(Field(entry.Events(EventNumber::kPeerMalformed)[0], "peer"), "stranger");
  EXPECT_EQ(Field(entry.Events(EventNumber::kPeerMalformed)[0], "step"), "decode frame");
}

} // namespace
} // namespace gooseberrysail
