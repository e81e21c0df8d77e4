#pragma once

#include <string>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Columns of text for a terminal.
/// \code
/// TextTable table({ "NAME", "OWNER" });
/// table.Add({ "hire-assist", "hire-desk" });
/// out << table.Text();
/// \endcode
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> header);

  /// \param cells As many as the header has.
  void Add(std::vector<std::string> cells);

  [[nodiscard]] std::string Text() const;

private:
  std::vector<std::vector<std::string>> m_rows; ///< The header first.
};

} // namespace gooseberrysail::impl
