#pragma once

#include "spec_fields.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Whether a text is a valid name in the catalogue; see kNameRule.
[[nodiscard]] bool IsValidName(std::string_view text) noexcept;

inline constexpr std::string_view kNameRule =
  "1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit";

/// \brief Collects the validation errors of one entry.
class ValidationErrors
{
public:
  void Add(std::string_view field, const boost::json::value& value, std::string_view allowed);
  void AddMissing(std::string_view field, std::string_view allowed);
  [[nodiscard]] bool Empty() const noexcept { return m_lines.empty(); }
  /// \brief All errors, separated by "; ".
  [[nodiscard]] std::string Text() const;

private:
  std::vector<std::string> m_lines;
};

/// \brief Visitor that fills the fields of a specification from JSON. Absent fields keep their
/// defaults.
class SpecReader
{
public:
  SpecReader(const boost::json::object& json, std::string prefix, ValidationErrors& errors)
    : m_json(json)
    , m_prefix(std::move(prefix))
    , m_errors(errors)
  {
  }

  void RequiredText(std::string_view field, std::string& target, std::size_t maxLength);
  void Hash(std::string_view field, std::string& target);
  void Number(std::string_view field, std::uint32_t& target, Range<std::uint32_t> range);
  void Real(std::string_view field, double& target, Range<double> range);
  void Millis(std::string_view field, Duration& target, Range<Duration> range);
  void Flag(std::string_view field, bool& target);
  void Names(std::string_view field, std::vector<std::string>& target);
  void Calls(std::string_view field, std::vector<NonRepeatableCall>& target);

  /// \brief Adds an error for each JSON field that was not read by a call above.
  void RejectUnknown();

private:
  /// \brief Finds a field and marks it as known; null if it is absent.
  const boost::json::value* Find(std::string_view field);
  void AddError(std::string_view field, const boost::json::value& value, std::string_view allowed);

  const boost::json::object& m_json;
  std::string m_prefix;
  ValidationErrors& m_errors;
  std::set<std::string, std::less<>> m_known;
};

/// \brief Visitor that writes the fields of a specification to JSON, in order.
class SpecWriter
{
public:
  [[nodiscard]] boost::json::object Take() { return std::move(m_json); }

  void RequiredText(std::string_view field, const std::string& value, std::size_t);
  void Hash(std::string_view field, const std::string& value);
  void Number(std::string_view field, std::uint32_t value, Range<std::uint32_t>);
  void Real(std::string_view field, double value, Range<double>);
  void Millis(std::string_view field, Duration value, Range<Duration>);
  void Flag(std::string_view field, bool value);
  void Names(std::string_view field, const std::vector<std::string>& value);
  void Calls(std::string_view field, const std::vector<NonRepeatableCall>& value);

private:
  boost::json::object m_json;
};

} // namespace gooseberrysail::impl
