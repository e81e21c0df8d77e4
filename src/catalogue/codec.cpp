#include "gooseberrysail/catalogue/codec.hpp"

#include "spec_reader.hpp"

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace gooseberrysail {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxOwnerLength = 200;
constexpr std::array<std::string_view, 5> kKindNames{ "model",
                                                      "service",
                                                      "workspace",
                                                      "target",
                                                      "policy" };
constexpr std::array<std::string_view, 3> kClassNames{ "interactive", "standard", "batch" };
constexpr std::string_view kKindRule = "\"model\", \"service\", \"workspace\", \"target\" or "
                                       "\"policy\"";
constexpr std::string_view kClassRule = "\"interactive\", \"standard\" or \"batch\"";

std::string_view TextOf(const json::value* value)
{
  const json::string* text = value != nullptr ? value->if_string() : nullptr;
  return text != nullptr ? std::string_view(text->data(), text->size()) : std::string_view();
}

EntrySpec DefaultSpec(wire::EntryKind kind)
{
  switch (kind) {
    case wire::EntryKind::Model:
      return ModelSpec{};
    case wire::EntryKind::Service:
      return ServiceSpec{};
    case wire::EntryKind::Workspace:
      return WorkspaceSpec{};
    case wire::EntryKind::Target:
      return TargetSpec{};
    case wire::EntryKind::Policy:
      return PolicySpec{};
  }
  return ModelSpec{};
}

enum class UnknownFields
{
  kReject,
  kSkip,
};

EntrySpec ReadSpec(wire::EntryKind kind,
                   const json::object& object,
                   UnknownFields unknown,
                   impl::ValidationErrors& errors)
{
  EntrySpec spec = DefaultSpec(kind);
  impl::SpecReader reader(object, "spec.", errors);
  std::visit([&](auto& fields) { impl::VisitFields(reader, fields); }, spec);
  if (unknown == UnknownFields::kReject) {
    reader.RejectUnknown();
  }
  return spec;
}

std::string CanonicalSpec(EntrySpec spec)
{
  impl::SpecWriter writer;
  std::visit([&](auto& fields) { impl::VisitFields(writer, fields); }, spec);
  return json::serialize(writer.Take());
}

Error Invalid(const impl::ValidationErrors& errors, std::string_view name)
{
  return Error{ ErrorCode::kInvalid, "validate catalogue entry", std::string(name), errors.Text() };
}

/// \brief Validates a text field outside of `spec`; the field is required.
template<class Check>
void CheckText(const json::object& object,
               std::string_view field,
               std::string_view allowed,
               impl::ValidationErrors& errors,
               Check valid)
{
  const json::value* value = object.if_contains(json::string_view(field.data(), field.size()));
  if (value == nullptr) {
    errors.AddMissing(field, allowed);
  } else if (!value->is_string() || !valid(TextOf(value))) {
    errors.Add(field, *value, allowed);
  }
}

void RejectUnknownFields(const json::object& object, impl::ValidationErrors& errors)
{
  // `revision` and `version` are accepted so that an entry can be written back in the form in which
  // it was read.
  constexpr std::array<std::string_view, 7> kKnown{ "kind", "name",     "owner",  "class",
                                                    "spec", "revision", "version" };
  for (const auto& field : object) {
    const std::string_view key(field.key().data(), field.key().size());
    if (std::find(kKnown.begin(), kKnown.end(), key) == kKnown.end()) {
      errors.Add(key, field.value(), "no such field; known are kind, name, owner, class, spec");
    }
  }
}

} // namespace

wire::EntryKind KindOf(const EntrySpec& spec) noexcept
{
  return static_cast<wire::EntryKind>(spec.index());
}

std::string_view KindName(wire::EntryKind kind) noexcept
{
  const auto index = static_cast<std::size_t>(kind);
  return index < kKindNames.size() ? kKindNames[index] : std::string_view("unknown");
}

std::optional<wire::EntryKind> FindKind(std::string_view name) noexcept
{
  const auto* found = std::find(kKindNames.begin(), kKindNames.end(), name);
  if (found == kKindNames.end()) {
    return std::nullopt;
  }
  return static_cast<wire::EntryKind>(found - kKindNames.begin());
}

std::string_view ClassName(PriorityClass priorityClass) noexcept
{
  const auto index = static_cast<std::size_t>(priorityClass);
  return index < kClassNames.size() ? kClassNames[index] : std::string_view("unknown");
}

std::optional<PriorityClass> FindClass(std::string_view name) noexcept
{
  const auto* found = std::find(kClassNames.begin(), kClassNames.end(), name);
  if (found == kClassNames.end()) {
    return std::nullopt;
  }
  return static_cast<PriorityClass>(found - kClassNames.begin());
}

Result<wire::CatalogueItemT> ParseItemJson(const json::value& value)
{
  impl::ValidationErrors errors;
  const json::object* object = value.if_object();
  if (object == nullptr) {
    errors.Add("entry", value, "an object with kind, name, owner, class and spec");
    return Invalid(errors, "");
  }
  const auto kind = FindKind(TextOf(object->if_contains("kind")));
  const std::string_view name = TextOf(object->if_contains("name"));
  const std::string allowedOwner =
    "text of 1 to " + std::to_string(kMaxOwnerLength) + " characters";
  CheckText(*object, "kind", kKindRule, errors, [&](std::string_view) { return kind.has_value(); });
  CheckText(*object, "name", impl::kNameRule, errors, impl::IsValidName);
  CheckText(*object, "owner", allowedOwner, errors, [](std::string_view text) {
    return !text.empty() && text.size() <= kMaxOwnerLength;
  });
  if (object->contains("class")) {
    CheckText(*object, "class", kClassRule, errors, [](std::string_view text) {
      return FindClass(text).has_value();
    });
  }
  RejectUnknownFields(*object, errors);

  static const json::object kEmptyObject;
  const json::value* specValue = object->if_contains("spec");
  const json::object* specObject = specValue != nullptr ? specValue->if_object() : &kEmptyObject;
  EntrySpec spec;
  if (specObject == nullptr) {
    errors.Add("spec", *specValue, "an object");
  } else if (kind) {
    spec = ReadSpec(*kind, *specObject, UnknownFields::kReject, errors);
  }
  if (!errors.Empty()) {
    return Invalid(errors, name);
  }

  wire::CatalogueItemT item;
  item.kind = *kind;
  item.name = std::string(name);
  item.owner = std::string(TextOf(object->if_contains("owner")));
  item.priorityClass = object->contains("class") ? std::string(TextOf(object->if_contains("class")))
                                                 : std::string(ClassName(PriorityClass::kStandard));
  item.spec = CanonicalSpec(std::move(spec));
  return item;
}

json::object ItemToJson(const wire::CatalogueItemT& item)
{
  json::object object;
  object["kind"] = KindName(item.kind);
  object["name"] = item.name;
  object["owner"] = item.owner;
  object["class"] = item.priorityClass;
  json::error_code parseError;
  json::value spec = json::parse(item.spec, parseError);
  object["spec"] = parseError ? json::value(json::object()) : std::move(spec);
  object["revision"] = item.revision;
  object["version"] = item.version;
  if (item.deleted) {
    object["deleted"] = true;
  }
  return object;
}

Result<CatalogueEntry> ParseEntry(const wire::CatalogueItemT& item)
{
  impl::ValidationErrors errors;
  const auto priorityClass = FindClass(item.priorityClass);
  if (!priorityClass) {
    errors.Add("class", json::value(item.priorityClass), kClassRule);
  }
  json::error_code parseError;
  const json::value value = json::parse(item.spec, parseError);
  const bool isObject = !parseError && value.is_object();
  if (!isObject) {
    errors.Add("spec", json::value(item.spec), "a JSON object");
  }
  if (static_cast<std::size_t>(item.kind) >= kKindNames.size()) {
    errors.Add("kind", json::value(static_cast<int>(item.kind)), kKindRule);
  }
  EntrySpec spec;
  if (errors.Empty()) {
    spec = ReadSpec(item.kind, value.get_object(), UnknownFields::kSkip, errors);
  }
  if (!errors.Empty()) {
    return Invalid(errors, item.name);
  }
  CatalogueEntry entry;
  entry.name = EntryName(item.name);
  entry.owner = item.owner;
  entry.priorityClass = *priorityClass;
  entry.revision = item.revision;
  entry.version = LogIndex(item.version);
  entry.spec = std::move(spec);
  return entry;
}

wire::CatalogueItemT PackEntry(const CatalogueEntry& entry)
{
  wire::CatalogueItemT item;
  item.kind = KindOf(entry.spec);
  item.name = entry.name.Get();
  item.owner = entry.owner;
  item.priorityClass = std::string(ClassName(entry.priorityClass));
  item.revision = entry.revision;
  item.version = entry.version.Get();
  item.spec = CanonicalSpec(entry.spec);
  return item;
}

} // namespace gooseberrysail
