#include "gooseberrysail/entry/output_order.hpp"

namespace gooseberrysail {

FittedOutput FitOutput(const Attempt& attempt, const wire::OutputT& output) noexcept
{
  using Fit = FittedOutput::Fit;
  const bool carriesHead = output.status != 0;
  const bool cut = output.end && !output.cutReason.empty();
  const std::uint64_t frameEnd = output.offset + output.bytes.size();

  FittedOutput fitted;
  const bool headMissing = !attempt.headSeen && !carriesHead && !cut;
  if (output.offset > attempt.nextOffset || headMissing) {
    fitted.fit = Fit::kGap;
    return fitted;
  }
  fitted.head = carriesHead && !attempt.headSeen;
  if (frameEnd > attempt.nextOffset) {
    const auto known = static_cast<std::size_t>(attempt.nextOffset - output.offset);
    const auto* bytes = reinterpret_cast<const char*>(output.bytes.data());
    fitted.bytes = std::string_view(bytes, output.bytes.size()).substr(known);
  }
  // An agent may have dropped held output before a cut, so a cut ends the answer wherever it
  // stands; a whole end must stand exactly behind the last byte.
  fitted.end = output.end && (cut || frameEnd >= attempt.nextOffset);
  const bool fresh = fitted.head || fitted.end || !fitted.bytes.empty();
  fitted.fit = fresh ? Fit::kFresh : Fit::kDuplicate;
  return fitted;
}

} // namespace gooseberrysail
