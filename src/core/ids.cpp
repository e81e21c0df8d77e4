#include "gooseberrysail/core/ids.hpp"

namespace gooseberrysail {

RequestId MakeRequestId(const ProcessId& entry, Incarnation incarnation, std::uint64_t sequence)
{
  return RequestId(entry.Get() + "." + std::to_string(incarnation.Get()) + "." +
                   std::to_string(sequence));
}

ProcessId EntryOf(const RequestId& request)
{
  const std::string& text = request.Get();
  const auto sequenceDot = text.rfind('.');
  if (sequenceDot == std::string::npos || sequenceDot == 0) {
    return ProcessId();
  }
  const auto incarnationDot = text.rfind('.', sequenceDot - 1);
  if (incarnationDot == std::string::npos) {
    return ProcessId();
  }
  return ProcessId(text.substr(0, incarnationDot));
}

} // namespace gooseberrysail
