#include "cli/commands.hpp"
#include "cli/json_view.hpp"
#include "cli/text_table.hpp"
#include "gooseberrysail/catalogue/codec.hpp"

#include <boost/json/serialize.hpp>

namespace gooseberrysail::impl {

namespace {

namespace json = boost::json;

constexpr std::uint64_t kDefaultHistory = 20;

/// \brief Reads `path` from the admin API and prints it as JSON or by `print`.
template<class Print>
ExitCode Show(CommandContext& context, const std::string& path, Print print)
{
  const ReadResult answer = ReadAdmin(context, path);
  if (!answer) {
    return answer.error();
  }
  if (context.line.json) {
    PrintJson(context, answer.value());
  } else {
    print(AsObject(answer.value()));
  }
  return ExitCode::kDone;
}

bool IsKind(const std::string& kind)
{
  return FindKind(kind).has_value();
}

ExitCode FailUnknownKind(CommandContext& context, const std::string& kind)
{
  return Fail(context,
              ExitCode::kUsage,
              "'" + kind + "' is not one of model, service, workspace, target, policy");
}

void AddFields(TextTable& table, const std::string& prefix, const json::object& object)
{
  for (const auto& field : object) {
    const std::string name = prefix + std::string(field.key());
    if (const json::object* inner = field.value().if_object()) {
      AddFields(table, name + ".", *inner);
    } else {
      table.Add({ name, CellOf(&field.value()) });
    }
  }
}

/// \brief Describes the entries that a change wrote, or the reason why it was refused.
std::string DescribeChange(const json::object& change)
{
  std::string text;
  for (const json::object* entry : ObjectsAt(change, "entries")) {
    text += (text.empty() ? "" : ", ") + CellAt(*entry, "kind") + " " + CellAt(*entry, "name") +
            (entry->contains("deleted") ? " deleted" : " r" + CellAt(*entry, "revision"));
  }
  return text.empty() ? CellAt(change, "reason") : text;
}

void PrintLeader(CommandContext& context, const json::object& status)
{
  const json::object& leader = ObjectAt(status, "leader");
  context.environment.out << "leader     " << CellAt(leader, "process") << " (term "
                          << CellAt(leader, "term") << ", for " << AgeAt(leader, "leadingForMs")
                          << "), log committed " << CellAt(leader, "committed") << ", applied "
                          << CellAt(leader, "applied") << "\n"
                          << "catalogue  version " << CellAt(status, "version") << "\n"
                          << "groups     " << CellAt(status, "groupsServing") << " serving of "
                          << CellAt(status, "groups") << "\n"
                          << "targets    " << CellAt(status, "targets") << "\n"
                          << "claims     " << CellAt(status, "claims") << "\n";
}

std::string InForceText(const json::object& change)
{
  std::string everywhere = TimeAt(change, "inForceEverywhereAtMs");
  if (!everywhere.empty()) {
    return everywhere;
  }
  return "not yet on " + CellAt(change, "laggingCount") + ": " + CellAt(change, "lagging");
}

void PrintStatus(CommandContext& context, const json::object& status)
{
  PrintLeader(context, status);
  TextTable changes({ "CHANGE", "VERSION", "COMMITTED", "IN FORCE EVERYWHERE" });
  for (const json::object* change : ObjectsAt(status, "changes")) {
    changes.Add({ CellAt(*change, "changeId"),
                  CellAt(*change, "version"),
                  TimeAt(*change, "committedAtMs"),
                  InForceText(*change) });
  }
  TextTable processes({ "PROCESS", "ROLE", "ADDRESS", "STATE", "FOR", "IN FORCE", "REPORTED" });
  for (const json::object* process : ObjectsAt(status, "processes")) {
    const bool up = CellAt(*process, "connected") == "true";
    processes.Add({ CellAt(*process, "process"),
                    CellAt(*process, "role"),
                    CellAt(*process, "address"),
                    up ? "connected" : "lost",
                    AgeAt(*process, "sinceMs"),
                    CellAt(*process, "versionInForce"),
                    AgeAt(*process, "reportedMs") });
  }
  context.environment.out << "\n" << changes.Text() << "\n" << processes.Text();
}

void PrintRequest(CommandContext& context, const json::object& request)
{
  TextTable facts({ "REQUEST", CellAt(request, "request") });
  facts.Add({ "outcome", CellAt(request, "outcome") });
  facts.Add({ "reason", CellAt(request, "reason") });
  facts.Add({ "workspace", CellAt(request, "workspace") });
  facts.Add({ "entry", CellAt(request, "entry") });
  facts.Add({ "taken by", CellAt(request, "process") });
  facts.Add({ "received", TimeAt(request, "receivedAtMs") });
  facts.Add({ "ended", TimeAt(request, "endedAtMs") });
  facts.Add({ "status", CellAt(request, "status") });
  facts.Add({ "bytes", CellAt(request, "bytes") });
  TextTable attempts({ "ATTEMPT", "GROUP", "EPOCH", "TARGET", "RESULT", "STARTED", "ENDED" });
  for (const json::object* attempt : ObjectsAt(request, "attempts")) {
    attempts.Add({ CellAt(*attempt, "attempt"),
                   CellAt(*attempt, "group"),
                   CellAt(*attempt, "epoch"),
                   CellAt(*attempt, "target"),
                   CellAt(*attempt, "result"),
                   TimeAt(*attempt, "startedAtMs"),
                   TimeAt(*attempt, "endedAtMs") });
  }
  context.environment.out << facts.Text() << "\n" << attempts.Text();
}

} // namespace

ExitCode RunCatalogueGet(CommandContext& context)
{
  const std::string& kind = context.line.arguments[0];
  if (!IsKind(kind)) {
    return FailUnknownKind(context, kind);
  }
  const std::string path = "catalogue/" + kind + "/" + EncodeUrlPart(context.line.arguments[1]);
  return Show(context, path, [&](const json::object& entry) {
    TextTable table({ "FIELD", "VALUE" });
    AddFields(table, "", entry);
    context.environment.out << table.Text();
  });
}

ExitCode RunCatalogueList(CommandContext& context)
{
  const std::string kind = context.line.arguments.empty() ? "" : context.line.arguments.front();
  if (!kind.empty() && !IsKind(kind)) {
    return FailUnknownKind(context, kind);
  }
  const ReadResult answer = ReadAdmin(context, "catalogue");
  if (!answer) {
    return answer.error();
  }
  json::array entries;
  TextTable table({ "KIND", "NAME", "CLASS", "OWNER", "REVISION", "VERSION" });
  for (const json::object* entry : ObjectsAt(AsObject(answer.value()), "entries")) {
    if (!kind.empty() && CellAt(*entry, "kind") != kind) {
      continue;
    }
    entries.emplace_back(*entry);
    table.Add({ CellAt(*entry, "kind"),
                CellAt(*entry, "name"),
                CellAt(*entry, "class"),
                CellAt(*entry, "owner"),
                CellAt(*entry, "revision"),
                CellAt(*entry, "version") });
  }
  if (context.line.json) {
    json::object list = AsObject(answer.value());
    list["entries"] = std::move(entries);
    PrintJson(context, list);
  } else {
    context.environment.out << table.Text();
  }
  return ExitCode::kDone;
}

ExitCode RunCatalogueHistory(CommandContext& context)
{
  const std::uint64_t limit = context.line.limit.value_or(kDefaultHistory);
  return Show(context, "history?limit=" + std::to_string(limit), [&](const json::object& history) {
    TextTable table({ "VERSION", "TIME", "OPERATOR", "RESULT", "CHANGE", "WHAT" });
    for (const json::object* change : ObjectsAt(history, "changes")) {
      table.Add({ CellAt(*change, "version"),
                  TimeAt(*change, "atMs"),
                  CellAt(*change, "operator"),
                  CellAt(*change, "ok") == "true" ? "done" : "refused",
                  CellAt(*change, "changeId"),
                  DescribeChange(*change) });
    }
    context.environment.out << table.Text();
  });
}

ExitCode RunStatus(CommandContext& context)
{
  return Show(context, "status", [&](const json::object& status) { PrintStatus(context, status); });
}

ExitCode RunGroups(CommandContext& context)
{
  return Show(context, "groups", [&](const json::object& groups) {
    TextTable table({ "GROUP",
                      "ENTRY",
                      "MODEL VERSION",
                      "STATE",
                      "HEAD",
                      "MEMBERS",
                      "MISSING",
                      "RUNNING",
                      "QUEUED",
                      "REASON" });
    for (const json::object* group : ObjectsAt(groups, "groups")) {
      table.Add({ CellAt(*group, "group"),
                  CellAt(*group, "entry"),
                  CellAt(*group, "modelVersion"),
                  CellAt(*group, "state"),
                  CellAt(*group, "head"),
                  CellAt(*group, "members"),
                  CellAt(*group, "missing"),
                  CellAt(*group, "running"),
                  CellAt(*group, "queued"),
                  CellAt(*group, "reason") });
    }
    context.environment.out << table.Text();
  });
}

ExitCode RunTargets(CommandContext& context)
{
  return Show(context, "targets", [&](const json::object& targets) {
    TextTable table({ "TARGET",
                      "KIND",
                      "SERVICE",
                      "FAILURE DOMAIN",
                      "FABRIC DOMAIN",
                      "ACCELERATORS",
                      "GROUP",
                      "REACHABLE",
                      "LEAVING",
                      "MODEL",
                      "HEARD" });
    for (const json::object* target : ObjectsAt(targets, "targets")) {
      table.Add({ CellAt(*target, "target"),
                  CellAt(*target, "kind"),
                  CellAt(*target, "service"),
                  CellAt(*target, "failureDomain"),
                  CellAt(*target, "fabricDomain"),
                  CellAt(*target, "accelerators"),
                  CellAt(*target, "group"),
                  CellAt(*target, "reachable") == "true" ? "yes" : "no",
                  CellAt(*target, "leaving") == "true" ? "yes" : "no",
                  CellAt(*target, "loadedModel"),
                  AgeAt(*target, "heardMs") });
    }
    context.environment.out << table.Text();
  });
}

ExitCode RunRequestShow(CommandContext& context)
{
  const std::string path = "requests/" + EncodeUrlPart(context.line.arguments.front());
  return Show(context, path, [&](const json::object& request) { PrintRequest(context, request); });
}

} // namespace gooseberrysail::impl
