#include "net/handshake.hpp"
#include "support/section.hpp"

namespace gooseberrysail::impl {
namespace {

wire::HelloT MakeHello(const std::string& process, std::uint8_t nonceByte)
{
  wire::HelloT hello;
  hello.process = process;
  hello.role = "agent";
  hello.incarnation = 5;
  hello.address = "10.0.0.1:7100";
  hello.protocol = kProtocol;
  hello.nonce.assign(kNonceBytes, nonceByte);
  return hello;
}

TEST(Handshake, AProofIsValidForItsKeySideAndHellosOnly)
{
  const wire::HelloT dialler = MakeHello("entry-1", 1);
  const wire::HelloT acceptor = MakeHello("agent-1", 2);
  const Proof proof = MakeProof("key", ProofSide::kDialler, dialler, acceptor);
  EXPECT_TRUE(ProofMatches(MakeProof("key", ProofSide::kDialler, dialler, acceptor), proof));

  SECTION("another key")
  {
    EXPECT_FALSE(ProofMatches(MakeProof("kez", ProofSide::kDialler, dialler, acceptor), proof));
  }
  SECTION("echoed by the other side")
  {
    EXPECT_FALSE(ProofMatches(MakeProof("key", ProofSide::kAcceptor, dialler, acceptor), proof));
    EXPECT_FALSE(ProofMatches(MakeProof("key", ProofSide::kDialler, acceptor, dialler), proof));
  }
  SECTION("replayed with another nonce, name, role, incarnation or address")
  {
    for (int field = 0; field < 5; ++field) {
      wire::HelloT other = dialler;
      other.nonce[0] += field == 0 ? 1 : 0;
      other.process += field == 1 ? "x" : "";
      other.role += field == 2 ? "x" : "";
      other.incarnation += field == 3 ? 1 : 0;
      other.address += field == 4 ? "1" : "";
      EXPECT_FALSE(ProofMatches(MakeProof("key", ProofSide::kDialler, other, acceptor), proof))
        << field;
    }
  }
  SECTION("characters shifted between name and role")
  {
    wire::HelloT shifted = dialler;
    shifted.process = "entry-1a";
    shifted.role = "gent";
    EXPECT_FALSE(ProofMatches(MakeProof("key", ProofSide::kDialler, shifted, acceptor), proof));
  }
  SECTION("truncated or empty")
  {
    EXPECT_FALSE(ProofMatches(proof, std::span(proof).first(31)));
    EXPECT_FALSE(ProofMatches(proof, {}));
  }
}

TEST(Handshake, AnInvalidHelloIsRefused)
{
  const wire::HelloT own = MakeHello("entry-1", 1);
  EXPECT_TRUE(CheckHello(own, MakeHello("agent-1", 2), "10.0.0.9:1"));

  const auto codeFor = [&](const wire::HelloT& hello) {
    const auto checked = CheckHello(own, hello, "10.0.0.9:1");
    EXPECT_FALSE(checked);
    EXPECT_EQ(checked.error().peer, "10.0.0.9:1");
    return checked.error().code;
  };
  SECTION("another protocol")
  {
    wire::HelloT hello = MakeHello("agent-1", 2);
    hello.protocol = kProtocol + 1;
    EXPECT_EQ(codeFor(hello), ErrorCode::kDenied);
  }
  SECTION("our own name")
  {
    EXPECT_EQ(codeFor(MakeHello("entry-1", 2)), ErrorCode::kConflict);
  }
  SECTION("our own nonce, echoed")
  {
    EXPECT_EQ(codeFor(MakeHello("agent-1", 1)), ErrorCode::kInvalid);
  }
  SECTION("a short nonce, no name, a name that is too long")
  {
    wire::HelloT hello = MakeHello("agent-1", 2);
    hello.nonce.pop_back();
    EXPECT_EQ(codeFor(hello), ErrorCode::kInvalid);
    EXPECT_EQ(codeFor(MakeHello("", 2)), ErrorCode::kInvalid);
    EXPECT_EQ(codeFor(MakeHello(std::string(1000, 'x'), 2)), ErrorCode::kInvalid);
  }
}

TEST(Handshake, NoncesDiffer)
{
  EXPECT_NE(MakeNonce(), MakeNonce());
  EXPECT_EQ(MakeNonce().size(), kNonceBytes);
}

} // namespace
} // namespace gooseberrysail::impl
