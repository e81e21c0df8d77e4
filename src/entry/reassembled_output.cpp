#include "gooseberrysail/entry/reassembled_output.hpp"

namespace gooseberrysail {

ReassembledOutput ReassembleOutput(const Attempt& attempt, const wire::OutputT& output) noexcept
{
  using Kind = ReassembledOutput::Kind;
  const bool hasHeaders = output.status != 0;
  const bool cut = output.end && !output.cutReason.empty();
  const std::uint64_t frameEnd = output.offset + output.bytes.size();

  ReassembledOutput reassembled;
  const bool headersMissing = !attempt.headersReceived && !hasHeaders && !cut;
  if (output.offset > attempt.nextOffset || headersMissing) {
    reassembled.kind = Kind::kGap;
    return reassembled;
  }
  reassembled.startsAnswer = hasHeaders && !attempt.headersReceived;
  if (frameEnd > attempt.nextOffset) {
    const auto known = static_cast<std::size_t>(attempt.nextOffset - output.offset);
    const auto* bytes = reinterpret_cast<const char*>(output.bytes.data());
    reassembled.bytes = std::string_view(bytes, output.bytes.size()).substr(known);
  }
  // An agent may have dropped buffered output before a cut, so a cut ends the answer at any offset;
  // the end of a complete answer must directly follow its last byte.
  reassembled.end = output.end && (cut || frameEnd >= attempt.nextOffset);
  const bool addsOutput = reassembled.startsAnswer || reassembled.end || !reassembled.bytes.empty();
  reassembled.kind = addsOutput ? Kind::kNew : Kind::kDuplicate;
  return reassembled;
}

} // namespace gooseberrysail
