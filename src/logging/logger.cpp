#include "gooseberrysail/logging/logger.hpp"

#include "gooseberrysail/observe/event_line.hpp"

#include <easylogging++.h>
#include <utility>

namespace gooseberrysail {

namespace {

constexpr const char* kLoggerName = "gooseberrysail";

EventLevel LevelOf(const EventOut& event)
{
  const EventInfo* info = FindEvent(event.number);
  return info != nullptr ? info->level : EventLevel::kError;
}

// Lines are already formatted. easylogging++ must add nothing, so that the log and the timeline
// show the same text, and must not interpret a message as a format string.
void Configure()
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::getLogger(kLoggerName);
  el::Loggers::reconfigureLogger(kLoggerName, configuration);
}

void Dispatch(EventLevel level, const std::string& line)
{
  switch (level) {
    case EventLevel::kDebug:
      CLOG(DEBUG, kLoggerName) << line;
      return;
    case EventLevel::kInfo:
      CLOG(INFO, kLoggerName) << line;
      return;
    case EventLevel::kWarning:
      CLOG(WARNING, kLoggerName) << line;
      return;
    case EventLevel::kError:
      CLOG(ERROR, kLoggerName) << line;
      return;
  }
}

} // namespace

Logger::Logger(ProcessId process, EventLevel minimum, std::function<WallMillis()> wallMillis)
  : m_process(std::move(process))
  , m_minimum(minimum)
  , m_wallMillis(std::move(wallMillis))
{
  Configure();
}

void Logger::Write(const EventOut& event)
{
  const EventLevel level = LevelOf(event);
  if (level >= m_minimum) {
    Dispatch(level, FormatEventLine(event, m_wallMillis(), m_process));
  }
}

} // namespace gooseberrysail
