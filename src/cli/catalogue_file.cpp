#include "cli/catalogue_file.hpp"

#include "cli/json_view.hpp"
#include "gooseberrysail/catalogue/codec.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <set>
#include <utility>

namespace gooseberrysail::impl {

namespace {

namespace json = boost::json;

Error Invalid(const std::string& path, std::string description)
{
  return { ErrorCode::kInvalid, "read catalogue file", path, std::move(description) };
}

Result<json::value> ParseJson(const std::string& text, const std::string& path)
{
  json::parser parser;
  json::error_code fault;
  const std::size_t read = parser.write_some(text, fault);
  if (!fault && text.find_first_not_of(" \t\r\n", read) == std::string::npos) {
    return parser.release();
  }
  const auto line =
    1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(read), '\n');
  return Invalid(path,
                 "line " + std::to_string(line) + ": invalid JSON: " +
                   (fault ? fault.message() : "unexpected text after the JSON value"));
}

/// \brief The entries in any of the accepted forms of a file; empty for any other form.
std::vector<const json::value*> EntriesOf(const json::value& file)
{
  std::vector<const json::value*> entries;
  const json::value* list = &file;
  if (const json::object* object = file.if_object()) {
    list = object->if_contains("entries");
    if (list == nullptr) {
      return { &file };
    }
  }
  if (const json::array* array = list->if_array()) {
    for (const json::value& entry : *array) {
      entries.push_back(&entry);
    }
  }
  return entries;
}

Result<CatalogueWrite> ReadEntry(const json::value& value)
{
  BOOST_OUTCOME_TRY(const auto item, ParseItemJson(value));
  CatalogueWrite write;
  write.kind = KindName(item.kind);
  write.name = item.name;
  write.entry = value.as_object();
  if (const json::value* revision = write.entry.if_contains("revision")) {
    const std::int64_t* number = revision->if_int64();
    if (number == nullptr || *number < 0) {
      return Error{ ErrorCode::kInvalid,
                    "read revision",
                    write.name,
                    "revision is " + json::serialize(*revision) +
                      ", expected a whole number from 0" };
    }
    write.expectedRevision = static_cast<std::uint64_t>(*number);
  }
  write.entry.erase("revision");
  write.entry.erase("version");
  return write;
}

/// \brief Maps kind and name to the canonical form, in which equal entries are equal strings.
std::map<std::pair<std::string, std::string>, std::string> CanonicalForms(
  const std::vector<json::value>& entries)
{
  std::map<std::pair<std::string, std::string>, std::string> forms;
  for (const json::value& entry : entries) {
    const Result<wire::CatalogueItemT> item = ParseItemJson(entry);
    if (item) {
      const auto& fields = item.value();
      forms[{ std::string(KindName(fields.kind)), fields.name }] =
        fields.owner + "\n" + fields.priorityClass + "\n" + fields.spec;
    }
  }
  return forms;
}

} // namespace

Result<std::vector<CatalogueWrite>> ParseCatalogueFile(const std::string& text,
                                                       const std::string& path)
{
  BOOST_OUTCOME_TRY(const auto file, ParseJson(text, path));
  std::vector<CatalogueWrite> writes;
  std::set<std::pair<std::string, std::string>> names;
  std::string faults;
  std::size_t number = 0;
  for (const json::value* entry : EntriesOf(file)) {
    const std::string label = "\n  entry " + std::to_string(++number);
    Result<CatalogueWrite> write = ReadEntry(*entry);
    if (!write) {
      const Error& error = write.error();
      faults +=
        label + (error.peer.empty() ? "" : " (" + error.peer + ")") + ": " + error.description;
    } else if (!names.emplace(write.value().kind, write.value().name).second) {
      faults += label + ": duplicate " + write.value().kind + " " + write.value().name;
    } else {
      writes.push_back(std::move(write.value()));
    }
  }
  if (!faults.empty()) {
    return Invalid(path, "nothing was changed:" + faults);
  }
  if (writes.empty()) {
    return Invalid(path, "contains no entry; expected an entry, a list, or {\"entries\":[...]}");
  }
  return writes;
}

std::string ChangeBody(const std::string& changeId,
                       const std::string& operatorName,
                       std::span<const CatalogueWrite> writes)
{
  json::array list;
  for (const CatalogueWrite& write : writes) {
    json::object item;
    item["entry"] = write.entry;
    item["expectedRevision"] = write.expectedRevision.value_or(0);
    if (write.remove) {
      item["remove"] = true;
    }
    list.push_back(std::move(item));
  }
  json::object body;
  body["changeId"] = changeId;
  body["operator"] = operatorName;
  body["writes"] = std::move(list);
  return json::serialize(body);
}

bool IsSameChange(const json::object& change, std::span<const CatalogueWrite> writes)
{
  std::vector<json::value> committed;
  std::size_t removed = 0;
  for (const json::object* entry : ObjectsAt(change, "entries")) {
    json::object committedEntry = *entry;
    removed += committedEntry.erase("deleted");
    committed.emplace_back(std::move(committedEntry));
  }
  std::vector<json::value> requested;
  std::size_t removals = 0;
  for (const CatalogueWrite& write : writes) {
    removals += write.remove ? 1 : 0;
    requested.emplace_back(write.entry);
  }
  if (committed.size() != requested.size() || removed != removals) {
    return false;
  }
  if (removals != 0) {
    return CellAt(AsObject(committed.front()), "name") == writes.front().name &&
           CellAt(AsObject(committed.front()), "kind") == writes.front().kind;
  }
  return CanonicalForms(committed) == CanonicalForms(requested);
}

} // namespace gooseberrysail::impl
