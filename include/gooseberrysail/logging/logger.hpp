#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <functional>

namespace gooseberrysail {

/// \brief Writes events to standard output, one line each, through easylogging++.
/// \remarks It never waits for the reader of the lines: what the reader has no room for is dropped,
/// and the number of such lines is logged later. SIGPIPE must be ignored.
/// \code
/// Logger log(settings.process, settings.observe.logLevel, WallNow);
/// log.Write(MakeEvent(EventNumber::kProcessStarted, { { "role", "entry" } }));
/// \endcode
class Logger
{
public:
  /// \param minimum Events below this level are not logged.
  /// \param wallMillis Provides the timestamp of each line.
  Logger(ProcessId process, EventLevel minimum, std::function<WallMillis()> wallMillis);

  void Write(const EventOut& event);

private:
  void WriteLine(EventLevel level, const EventOut& event);
  void ReportDropped();

  ProcessId m_process;
  EventLevel m_minimum;
  std::function<WallMillis()> m_wallMillis;
};

} // namespace gooseberrysail
