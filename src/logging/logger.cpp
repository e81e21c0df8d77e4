#include "gooseberrysail/logging/logger.hpp"

#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/observe/event_line.hpp"
#include "logging/line_output.hpp"

#include <easylogging++.h>
#include <unistd.h>
#include <utility>

namespace gooseberrysail {

namespace {

constexpr const char* kLoggerName = "gooseberrysail";
constexpr const char* kOutputName = "gooseberrysail-output";

/// \brief Takes the lines from easylogging++, whose own output waits for its reader.
class OutputCallback : public el::LogDispatchCallback
{
public:
  impl::LineOutput& Output() { return m_output; }

protected:
  void handle(const el::LogDispatchData* data) override
  {
    const el::LogMessage* message = data->logMessage();
    m_output.Write(message->logger()->logBuilder()->build(message, true));
  }

private:
  impl::LineOutput m_output{ STDOUT_FILENO };
};

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
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::getLogger(kLoggerName);
  el::Loggers::reconfigureLogger(kLoggerName, configuration);
  el::Helpers::installLogDispatchCallback<OutputCallback>(kOutputName);
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
    WriteLine(level, event);
    ReportDropped();
  }
}

void Logger::WriteLine(EventLevel level, const EventOut& event)
{
  Dispatch(level, FormatEventLine(event, m_wallMillis(), m_process));
}

void Logger::ReportDropped()
{
  const std::uint64_t dropped =
    el::Helpers::logDispatchCallback<OutputCallback>(kOutputName)->Output().TakeDropped();
  if (dropped > 0) {
    WriteLine(EventLevel::kWarning,
              MakeEvent(EventNumber::kLogLinesDropped, { { "lines", std::to_string(dropped) } }));
  }
}

} // namespace gooseberrysail
