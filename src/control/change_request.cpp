#include "change_request.hpp"

#include "gooseberrysail/catalogue/codec.hpp"
#include "gooseberrysail/control/catalogue_table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

namespace gooseberrysail::impl {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxWrites = 1'000;
constexpr std::size_t kMaxIdLength = 200;
constexpr std::string_view kStep = "read catalogue change";

Error Invalid(const std::string& reason)
{
  return Error{ ErrorCode::kInvalid, std::string(kStep), "", reason };
}

class FaultList
{
public:
  void Add(const std::string& fault) { m_text += m_text.empty() ? fault : "; " + fault; }
  [[nodiscard]] const std::string& Text() const { return m_text; }

private:
  std::string m_text;
};

std::string ReadText(const json::object& object, std::string_view field, FaultList& faults)
{
  const json::value* value = object.if_contains(json::string_view(field.data(), field.size()));
  const json::string* text = value != nullptr ? value->if_string() : nullptr;
  if (text == nullptr || text->empty() || text->size() > kMaxIdLength) {
    faults.Add(std::string(field) + " is " +
               (value == nullptr ? std::string("missing") : json::serialize(*value)) +
               ", allowed: text of 1 to " + std::to_string(kMaxIdLength) + " characters");
    return {};
  }
  return std::string(text->data(), text->size());
}

/// \brief Parses `expectedRevision`: absent or null accepts any revision, 0 requires that the entry
/// does not exist.
std::optional<std::uint64_t> ReadRevision(const json::object& write)
{
  const json::value* value = write.if_contains("expectedRevision");
  if (value == nullptr || value->is_null()) {
    return kAnyRevision;
  }
  if (value->is_int64() && value->get_int64() >= 0) {
    return static_cast<std::uint64_t>(value->get_int64());
  }
  return std::nullopt;
}

void RefuseUnknown(const json::object& object,
                   std::initializer_list<std::string_view> known,
                   const std::string& where,
                   FaultList& faults)
{
  for (const auto& field : object) {
    const std::string_view key(field.key().data(), field.key().size());
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      faults.Add(where + std::string(key) + ": no such field");
    }
  }
}

/// \brief Parses the kind and name of an entry to remove; a specification is not needed.
Result<wire::CatalogueItemT> ReadRemovedEntry(const json::value& entry)
{
  const json::object* object = entry.if_object();
  const json::value* kind = object != nullptr ? object->if_contains("kind") : nullptr;
  const json::value* name = object != nullptr ? object->if_contains("name") : nullptr;
  const json::string* kindText = kind != nullptr ? kind->if_string() : nullptr;
  const json::string* nameText = name != nullptr ? name->if_string() : nullptr;
  if (kindText == nullptr || nameText == nullptr) {
    return Invalid("an entry to remove is named by kind and name");
  }
  const auto known = FindKind(std::string_view(kindText->data(), kindText->size()));
  if (!known) {
    return Invalid("kind is " + json::serialize(*kind) +
                   ", allowed: model, service, workspace, target or policy");
  }
  wire::CatalogueItemT item;
  item.kind = *known;
  item.name = std::string(nameText->data(), nameText->size());
  return item;
}

void ReadWrite(const json::value& value,
               const std::string& where,
               wire::ChangeCatalogueT& change,
               FaultList& faults)
{
  const json::object* object = value.if_object();
  const json::value* entry = object != nullptr ? object->if_contains("entry") : nullptr;
  if (entry == nullptr) {
    faults.Add(where + "an object with entry, expectedRevision and remove is wanted");
    return;
  }
  RefuseUnknown(*object, { "entry", "expectedRevision", "remove" }, where, faults);
  const json::value* remove = object->if_contains("remove");
  if (remove != nullptr && !remove->is_bool()) {
    faults.Add(where + "remove is " + json::serialize(*remove) + ", allowed: true or false");
  }
  const bool isRemoval = remove != nullptr && remove->is_bool() && remove->get_bool();
  const auto revision = ReadRevision(*object);
  if (!revision) {
    faults.Add(where + "expectedRevision is " + json::serialize(object->at("expectedRevision")) +
               ", allowed: null or a whole number from 0");
  }
  Result<wire::CatalogueItemT> item = isRemoval ? ReadRemovedEntry(*entry) : ParseItemJson(*entry);
  if (!item) {
    faults.Add(where + item.error().description);
    return;
  }
  auto write = std::make_unique<wire::CatalogueWriteT>();
  write->item = std::make_unique<wire::CatalogueItemT>(std::move(item.value()));
  write->expectedRevision = revision.value_or(kAnyRevision);
  write->remove = isRemoval;
  change.writes.push_back(std::move(write));
}

} // namespace

Result<wire::ChangeCatalogueT> ParseChange(std::string_view body)
{
  json::error_code failure;
  const json::value parsed = json::parse(json::string_view(body.data(), body.size()), failure);
  if (failure) {
    return Invalid("the body is not JSON: " + failure.message());
  }
  const json::object* object = parsed.if_object();
  if (object == nullptr) {
    return Invalid("the body must be an object with changeId, operator and writes");
  }
  FaultList faults;
  wire::ChangeCatalogueT change;
  RefuseUnknown(*object, { "changeId", "operator", "writes" }, "", faults);
  change.changeId = ReadText(*object, "changeId", faults);
  change.operatorName = ReadText(*object, "operator", faults);
  const json::value* writes = object->if_contains("writes");
  const json::array* list = writes != nullptr ? writes->if_array() : nullptr;
  if (list == nullptr || list->empty() || list->size() > kMaxWrites) {
    faults.Add("writes must be a list of 1 to " + std::to_string(kMaxWrites) + " writes");
  } else {
    std::size_t number = 0;
    for (const json::value& write : *list) {
      ReadWrite(write, "writes[" + std::to_string(number++) + "]: ", change, faults);
    }
  }
  if (!faults.Text().empty()) {
    return Invalid(faults.Text());
  }
  return change;
}

} // namespace gooseberrysail::impl
