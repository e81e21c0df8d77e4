#include "net/frame_codec.hpp"
#include "support/fuzz.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <random>

namespace gooseberrysail::impl {
namespace {

std::vector<std::uint8_t> NumberFrame(std::uint64_t number)
{
  wire::InForceT message;
  message.version = number;
  return EncodeFrame(*MakeEnvelope(std::move(message)));
}

void Feed(FrameReader& reader, std::span<const std::uint8_t> bytes)
{
  while (!bytes.empty()) {
    const auto room = reader.Prepare();
    const std::size_t size = std::min(room.size(), bytes.size());
    std::copy_n(bytes.begin(), size, room.begin());
    reader.Commit(size);
    bytes = bytes.subspan(size);
  }
}

std::vector<std::uint64_t> Numbers(FrameReader& reader)
{
  std::vector<std::uint64_t> numbers;
  for (;;) {
    const auto frame = reader.Next("peer");
    if (!frame || !frame.value()) {
      return numbers;
    }
    EXPECT_EQ(reinterpret_cast<std::uintptr_t>((*frame.value()).data()) % 8, 0U);
    const auto envelope = DecodeEnvelope(*frame.value(), "peer");
    numbers.push_back(envelope ? envelope.value()->body.AsInForce()->version : 0);
  }
}

std::vector<std::uint8_t> TextFrame(const std::string& text)
{
  wire::ServingStateT state;
  state.document = text;
  return EncodeFrame(*MakeEnvelope(std::move(state)));
}

std::string RouteText(std::size_t routes)
{
  std::string text;
  for (std::size_t route = 0; route < routes; ++route) {
    text += R"({"name":"route-)" + std::to_string(route) + R"(","service":"assist"},)";
  }
  return text;
}

// Guards against links that are filled by copies of a document: each entry is sent it at each
// change.
TEST(FrameCodec, CompressesLargeFrames)
{
  const std::string text = RouteText(2000);
  const std::vector<std::uint8_t> frame = TextFrame(text);
  EXPECT_LT(frame.size(), text.size() / 4);
  std::vector<std::uint8_t> stream = NumberFrame(1);
  stream.insert(stream.end(), frame.begin(), frame.end());
  const auto after = NumberFrame(2);
  stream.insert(stream.end(), after.begin(), after.end());
  FrameReader reader(kMaxFrameBytes);
  Feed(reader, stream);
  ASSERT_TRUE(reader.Next("peer").value());
  const auto read = reader.Next("peer");
  ASSERT_TRUE(read && read.value());
  EXPECT_EQ(reinterpret_cast<std::uintptr_t>((*read.value()).data()) % 8, 0U);
  const auto envelope = DecodeEnvelope(*read.value(), "peer");
  EXPECT_EQ(envelope.value()->body.AsServingState()->document, text);
  EXPECT_EQ(Numbers(reader), (std::vector<std::uint64_t>{ 2 }));
}

// Guards against a peer that fills the memory with a small frame: the limit holds for what it
// expands to, also before the peer has proved its identity.
TEST(FrameCodec, RejectsACompressedFrameThatExceedsTheLimit)
{
  FrameReader reader(8 * 1024);
  Feed(reader, TextFrame(RouteText(2000)));
  const auto read = reader.Next("peer");
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().code, ErrorCode::kTooLarge);
}

TEST(FrameCodec, RejectsADamagedCompressedFrame)
{
  const std::vector<std::uint8_t> sound = TextFrame(RouteText(2000));
  std::mt19937 random(7);
  for (int run = 0; run < 500; ++run) {
    std::vector<std::uint8_t> damaged = sound;
    damaged[kFramePrefixBytes + random() % (damaged.size() - kFramePrefixBytes)] ^=
      static_cast<std::uint8_t>(1 + random() % 255);
    FrameReader reader(kMaxFrameBytes);
    Feed(reader, damaged);
    const auto read = reader.Next("peer");
    if (read && read.value()) {
      static_cast<void>(DecodeEnvelope(*read.value(), "peer"));
    }
  }
}

TEST(FrameCodec, ParsesFramesWhereverTheStreamIsSplit)
{
  std::vector<std::uint8_t> stream;
  for (std::uint64_t number = 1; number <= 5; ++number) {
    const auto frame = NumberFrame(number);
    stream.insert(stream.end(), frame.begin(), frame.end());
  }
  for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
    FrameReader reader(kMaxFrameBytes);
    std::vector<std::uint64_t> numbers;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      Feed(reader, std::span(stream).subspan(at, std::min(piece, stream.size() - at)));
      const auto found = Numbers(reader);
      numbers.insert(numbers.end(), found.begin(), found.end());
    }
    EXPECT_EQ(numbers, (std::vector<std::uint64_t>{ 1, 2, 3, 4, 5 })) << "pieces of " << piece;
  }
}

TEST(FrameCodec, RejectsAFrameOverTheLimitBeforeItsBytesArrive)
{
  FrameReader reader(100);
  Feed(reader, std::vector<std::uint8_t>{ 101, 0, 0, 0 });
  const auto frame = reader.Next("agent-1");
  ASSERT_FALSE(frame);
  EXPECT_EQ(frame.error().code, ErrorCode::kTooLarge);
  EXPECT_EQ(frame.error().peer, "agent-1");
  SECTION("a frame of exactly the limit is waited for")
  {
    FrameReader exact(100);
    Feed(exact, std::vector<std::uint8_t>{ 100, 0, 0, 0 });
    const auto waiting = exact.Next("agent-1");
    ASSERT_TRUE(waiting);
    EXPECT_FALSE(waiting.value());
  }
}

TEST(FrameCodec, RejectsAnEmptyFrame)
{
  FrameReader reader(100);
  Feed(reader, std::vector<std::uint8_t>{ 0, 0, 0, 0 });
  const auto frame = reader.Next("agent-1");
  ASSERT_FALSE(frame);
  EXPECT_EQ(frame.error().code, ErrorCode::kCorrupt);
}

// Guards against memory exhaustion by a few small packets: the buffer must grow with the received
// bytes, not to the size in the length prefix.
TEST(FrameCodec, BufferGrowsWithReceivedBytesNotWithTheLengthPrefix)
{
  FrameReader reader(kMaxFrameBytes);
  Feed(reader, std::vector<std::uint8_t>{ 0, 0, 0xff, 0 });
  ASSERT_TRUE(reader.Next("peer"));
  EXPECT_LE(reader.Prepare().size(), 64U * 1024U);
}

TEST(FrameCodec, ADamagedFrameIsRejectedOrDecodedWithoutReadingOutOfBounds)
{
  const auto frame = NumberFrame(77);
  for (std::size_t at = kFramePrefixBytes; at < frame.size(); ++at) {
    for (const std::uint8_t value : { 0x00, 0x7f, 0x80, 0xff }) {
      auto damaged = frame;
      damaged[at] = value;
      FrameReader reader(kMaxFrameBytes);
      Feed(reader, damaged);
      const auto bytes = reader.Next("peer");
      ASSERT_TRUE(bytes && bytes.value());
      const auto envelope = DecodeEnvelope(*bytes.value(), "peer");
      EXPECT_TRUE(envelope || envelope.error().code == ErrorCode::kCorrupt);
    }
  }
}

/// A message with text, numbers and a list of tables.
wire::ServingStateT FullState()
{
  wire::ServingStateT state;
  state.leader = true;
  state.documentVersion = 7;
  state.document = std::string(300, '{');
  for (int number = 0; number < 4; ++number) {
    auto target = std::make_unique<wire::ServingTargetT>();
    target->instance = "i-" + std::to_string(number);
    target->address = "10.0.0.1:80";
    state.targets.push_back(std::move(target));
  }
  return state;
}

// Guards against crashes and out-of-bounds reads on a frame of correct length from a faulty or
// hostile peer: offsets in a frame must be verified before they are followed.
TEST(FrameCodec, MutatedFramesAreHandledSafely)
{
  const std::vector<std::uint8_t> whole = EncodeFrame(*MakeEnvelope(FullState()));
  constexpr std::size_t kLength = 4; ///< The prefix is not mutated, so the frame is complete.
  std::mt19937 random(13);
  for (int round = test::FuzzRounds(); round > 0; --round) {
    std::vector<std::uint8_t> frame = whole;
    for (unsigned edits = random() % 6 + 1; edits > 0; --edits) {
      frame[kLength + random() % (frame.size() - kLength)] = static_cast<std::uint8_t>(random());
    }
    FrameReader reader(kMaxFrameBytes);
    Feed(reader, frame);
    const auto cut = reader.Next("peer");
    ASSERT_TRUE(cut && cut.value());
    const auto envelope = DecodeEnvelope(*cut.value(), "peer");
    if (envelope) {
      if (const auto* state = envelope.value()->body.AsServingState()) {
        EXPECT_LE(state->targets.size(), frame.size());
      }
    }
  }
}

} // namespace
} // namespace gooseberrysail::impl
