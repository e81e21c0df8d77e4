#include "gooseberrysail/settings/settings.hpp"

#include "settings/setting_key.hpp"

#include <algorithm>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <filesystem>
#include <map>
#include <set>
#include <sstream>

namespace gooseberrysail {

namespace {

/// A request of the largest size needs four of them where half of the memory is for callers.
constexpr std::size_t kBodiesInMemory = 10;

namespace po = boost::program_options;
using impl::SettingKey;
using impl::SettingValue;

std::string_view Trim(std::string_view text)
{
  constexpr std::string_view kSpace = " \t\r\n";
  const auto first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

po::options_description DescribeOptions()
{
  po::options_description options;
  for (const SettingKey& row : impl::SettingKeys()) {
    options.add_options()(std::string(row.key).c_str(),
                          po::value<std::vector<std::string>>()->composing());
  }
  return options;
}

/// \brief A key and its value from the file.
struct Assignment
{
  std::size_t line = 0;
  std::string key;
  std::string text;
  SettingValue value;
};

/// \brief Loads one settings file and collects its errors.
class Loader
{
public:
  Loader(std::string path, const FileReader& readFile)
    : m_path(std::move(path))
    , m_readFile(readFile)
  {
  }

  SettingsResult Load()
  {
    m_settings.file = m_path;
    const Result<std::string> text = m_readFile(m_path);
    if (!text) {
      AddFault(0, "", ToString(text.error()));
      return std::move(m_faults);
    }
    ParseLines(text.value());
    CheckValues();
    CheckRole();
    Store();
    CheckClusterKey();
    CheckCombinations();
    if (!m_faults.empty()) {
      SortFaults();
      return std::move(m_faults);
    }
    return std::move(m_settings);
  }

private:
  void AddFault(std::size_t line, std::string key, std::string description)
  {
    m_faults.push_back({ m_path, line, std::move(key), std::move(description) });
  }

  // Boost.ProgramOptions does not report the line of a key and stops at the first error. Parsing
  // each line separately, after its section header, gives line numbers and reports all errors.
  void ParseLines(const std::string& text)
  {
    const po::options_description options = DescribeOptions();
    std::istringstream lines(text);
    std::string section;
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
      const std::string_view content = Trim(std::string_view(line).substr(0, line.find('#')));
      if (!content.empty() && content.front() == '[') {
        section = content;
      }
      ParseLine(options, number, section, std::string(content));
    }
  }

  void ParseLine(const po::options_description& options,
                 std::size_t number,
                 const std::string& section,
                 const std::string& content)
  {
    try {
      std::istringstream input(section + "\n" + content + "\n");
      for (const auto& option : po::parse_config_file(input, options, true).options) {
        if (option.unregistered) {
          AddFault(number, option.string_key, "unknown key" + Suggest(option.string_key));
        } else {
          const std::string value = option.value.empty() ? "" : option.value.front();
          m_assignments.push_back({ number, option.string_key, value, {} });
        }
      }
    } catch (const po::error&) {
      AddFault(number, "", "expected [section] or key = value: '" + content + "'");
    }
  }

  /// \brief Suggests the same key in another section, a common mistake.
  static std::string Suggest(std::string_view key)
  {
    const std::string_view last = key.substr(key.rfind('.') + 1);
    for (const SettingKey& row : impl::SettingKeys()) {
      if (row.key.substr(row.key.rfind('.') + 1) == last) {
        return "; did you mean " + std::string(row.key) + "?";
      }
    }
    return "";
  }

  void CheckValues()
  {
    std::map<std::string, std::size_t> firstLines;
    std::vector<Assignment> valid;
    for (Assignment& assignment : m_assignments) {
      const SettingKey& row = *impl::FindSettingKey(assignment.key);
      const auto [first, inserted] = firstLines.emplace(assignment.key, assignment.line);
      if (!inserted && row.type != impl::SettingType::kPeer) {
        AddFault(assignment.line,
                 assignment.key,
                 "duplicate key, first given in line " + std::to_string(first->second));
        continue;
      }
      Result<SettingValue> value = impl::CheckSettingValue(row, assignment.text);
      if (!value) {
        AddFault(assignment.line, assignment.key, value.error().description);
        continue;
      }
      assignment.value = std::move(value.value());
      valid.push_back(std::move(assignment));
    }
    m_assignments = std::move(valid);
    for (const auto& [key, line] : firstLines) {
      m_given.insert(key);
    }
  }

  // The allowed and required keys depend on the role. Without a valid role, these checks are
  // skipped, as they would report errors that are not there.
  void CheckRole()
  {
    const Assignment* role = Find("process.role");
    if (role == nullptr) {
      if (!m_given.contains("process.role")) {
        AddMissing(*impl::FindSettingKey("process.role"));
      }
      return;
    }
    impl::FindSettingKey("process.role")->store(m_settings, role->value);
    m_roleKnown = true;
    for (const Assignment& assignment : m_assignments) {
      if (!impl::Contains(impl::FindSettingKey(assignment.key)->roles, m_settings.role)) {
        AddFault(assignment.line,
                 assignment.key,
                 std::string("does not apply to role ") + ToString(m_settings.role));
      }
    }
    for (const SettingKey& row : impl::SettingKeys()) {
      if (impl::Contains(row.required, m_settings.role) &&
          !m_given.contains(std::string(row.key))) {
        AddMissing(row);
      }
    }
  }

  void AddMissing(const SettingKey& row)
  {
    AddFault(0, std::string(row.key), "is missing; expected " + impl::DescribeRange(row));
  }

  void Store()
  {
    for (const SettingKey& row : impl::SettingKeys()) {
      if (!row.defaultValue.empty()) {
        row.store(m_settings, impl::CheckSettingValue(row, row.defaultValue).value());
      }
    }
    for (Assignment& assignment : m_assignments) {
      const SettingKey& row = *impl::FindSettingKey(assignment.key);
      if (row.type == impl::SettingType::kPath) {
        assignment.value.text = Resolve(assignment.value.text);
      }
      row.store(m_settings, assignment.value);
    }
  }

  std::string Resolve(const std::string& path) const
  {
    return (std::filesystem::path(m_path).parent_path() / path).lexically_normal().string();
  }

  void CheckClusterKey()
  {
    const bool inLine = m_given.contains("cluster.key");
    const bool inFile = m_given.contains("cluster.keyFile");
    if (inLine == inFile) {
      AddFault(0,
               "cluster.key",
               inLine ? "specify either cluster.key or cluster.keyFile, not both"
                      : "is missing; specify cluster.key or cluster.keyFile");
      return;
    }
    const Assignment* file = Find("cluster.keyFile");
    if (file == nullptr) {
      return;
    }
    const Result<std::string> text = m_readFile(file->value.text);
    if (!text) {
      AddFault(file->line, file->key, ToString(text.error()));
      return;
    }
    const auto& row = *impl::FindSettingKey("cluster.key");
    const Result<SettingValue> key = impl::CheckSettingValue(row, Trim(text.value()));
    if (!key) {
      AddFault(file->line, file->key, "content of the file: " + key.error().description);
      return;
    }
    row.store(m_settings, key.value());
  }

  /// \brief Validates combinations of keys.
  void CheckCombinations()
  {
    if (m_settings.peers.silenceTimeout < 2 * m_settings.peers.heartbeatInterval) {
      AddFault(LineOf("peers.silenceTimeout"),
               "peers.silenceTimeout",
               "must be at least twice peers.heartbeatInterval");
    }
    if (m_settings.limits.memoryBytes < kBodiesInMemory * m_settings.limits.maxBodyBytes) {
      AddFault(
        LineOf("limits.memory"), "limits.memory", "must be at least ten times limits.maxBodyBytes");
    }
    CheckControls();
    if (m_roleKnown && m_settings.role == ProcessRole::kAgent) {
      CheckTarget();
    }
  }

  /// \brief Adds the control processes found by seeds; every process derives the same names.
  void AddSeeds()
  {
    for (const std::string& seed : m_settings.seeds) {
      const std::string ip = seed.substr(0, seed.rfind(':'));
      m_settings.controls.push_back(
        { ControlNameAt(ip), ip + ":" + std::to_string(m_settings.seedPort) });
    }
  }

  void CheckControls()
  {
    const bool byName = m_given.contains("cluster.control");
    const bool bySeeds = m_given.contains("cluster.seeds");
    if (!m_roleKnown && !byName) {
      return;
    }
    if (byName == bySeeds) {
      AddFault(0,
               "cluster.control",
               byName ? "specify either cluster.control or cluster.seeds, not both"
                      : "is missing; specify cluster.control or cluster.seeds");
      return;
    }
    if (bySeeds) {
      AddSeeds();
      return;
    }
    std::set<ProcessId> names;
    for (const Assignment& assignment : m_assignments) {
      if (assignment.key == "cluster.control" &&
          !names.insert(impl::SplitPeer(assignment.value.text).process).second) {
        AddFault(assignment.line, assignment.key, "duplicate name of a control process");
      }
    }
    const bool isControl = m_roleKnown && m_settings.role == ProcessRole::kControl;
    if (isControl && !m_settings.process.IsNone() && !names.contains(m_settings.process)) {
      AddFault(0,
               "cluster.control",
               "has no entry for this process, " + m_settings.process.Get() +
                 "; the list must name every control process");
    }
  }

  void CheckTarget()
  {
    const bool isService = m_settings.agent.kind == wire::TargetKind::Service;
    if (isService && !m_given.contains("agent.service")) {
      AddFault(0, "agent.service", "is missing; required for agent.targetKind = service");
    }
    if (!isService && m_given.contains("agent.service")) {
      AddFault(
        LineOf("agent.service"), "agent.service", "does not apply to agent.targetKind = engine");
    }
    if (!isService && !m_given.contains("agent.fabricDomain")) {
      AddFault(0, "agent.fabricDomain", "is missing; required for agent.targetKind = engine");
    }
  }

  [[nodiscard]] const Assignment* Find(std::string_view key) const
  {
    const auto found = std::ranges::find(m_assignments, key, &Assignment::key);
    return found != m_assignments.end() ? &*found : nullptr;
  }

  [[nodiscard]] std::size_t LineOf(std::string_view key) const
  {
    const Assignment* assignment = Find(key);
    return assignment != nullptr ? assignment->line : 0;
  }

  void SortFaults() { std::ranges::stable_sort(m_faults, {}, &SettingsFault::line); }

  std::string m_path;
  const FileReader& m_readFile;
  ProcessSettings m_settings;
  bool m_roleKnown = false;
  std::vector<Assignment> m_assignments;
  std::set<std::string, std::less<>>
    m_given; ///< All keys in the file, including those with an invalid value.
  std::vector<SettingsFault> m_faults;
};

} // namespace

namespace {

constexpr std::string_view kControlNamePrefix = "control-";

} // namespace

ProcessId ControlNameAt(std::string_view ip)
{
  return ProcessId(std::string(kControlNamePrefix) + std::string(ip));
}

std::string ControlAddressOf(const ProcessId& process, std::uint16_t port)
{
  const std::string_view name = process.Get();
  if (!name.starts_with(kControlNamePrefix)) {
    return {};
  }
  return std::string(name.substr(kControlNamePrefix.size())) + ":" + std::to_string(port);
}

const char* ToString(ProcessRole role) noexcept
{
  switch (role) {
    case ProcessRole::kEntry:
      return "entry";
    case ProcessRole::kControl:
      return "control";
    case ProcessRole::kAgent:
      return "agent";
  }
  return "unknown";
}

std::string ToString(const SettingsFault& fault)
{
  std::string text = fault.file;
  if (fault.line != 0) {
    text += ":" + std::to_string(fault.line);
  }
  if (!fault.key.empty()) {
    text += ": " + fault.key;
  }
  return text + ": " + fault.description;
}

std::ostream& operator<<(std::ostream& out, const SettingsFault& fault)
{
  return out << ToString(fault);
}

SettingsResult LoadSettings(const std::string& path, const FileReader& readFile)
{
  return Loader(path, readFile).Load();
}

} // namespace gooseberrysail
