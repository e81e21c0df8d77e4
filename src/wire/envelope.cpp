#include "gooseberrysail/wire/envelope.hpp"

namespace gooseberrysail {

std::vector<std::uint8_t> EncodeEnvelope(const wire::EnvelopeT& envelope)
{
  flatbuffers::FlatBufferBuilder builder(512);
  builder.Finish(wire::Envelope::Pack(builder, &envelope));
  const std::span<const std::uint8_t> bytes(builder.GetBufferPointer(), builder.GetSize());
  return { bytes.begin(), bytes.end() };
}

Result<std::shared_ptr<const wire::EnvelopeT>> DecodeEnvelope(std::span<const std::uint8_t> bytes,
                                                              std::string_view peer)
{
  // Unpacking an unverified frame that is damaged or malicious could read outside the buffer.
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!verifier.VerifyBuffer<wire::Envelope>()) {
    return Error{ ErrorCode::kCorrupt, "decode frame", std::string(peer), "not a valid message" };
  }
  auto envelope = std::make_shared<wire::EnvelopeT>();
  flatbuffers::GetRoot<wire::Envelope>(bytes.data())->UnPackTo(envelope.get());
  if (envelope->body.type == wire::Body::NONE) {
    return Error{
      ErrorCode::kCorrupt, "decode frame", std::string(peer), "a frame without message"
    };
  }
  return std::shared_ptr<const wire::EnvelopeT>(std::move(envelope));
}

bool IsHighPriority(const wire::EnvelopeT& envelope) noexcept
{
  return envelope.body.type == wire::Body::RaftMessage;
}

const char* BodyName(const wire::EnvelopeT& envelope) noexcept
{
  return wire::EnumNameBody(envelope.body.type);
}

} // namespace gooseberrysail
