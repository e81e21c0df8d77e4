#pragma once

#include <string>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Formats rows of text as aligned columns for a terminal.
/// \code
/// TextTable table({ "NAME", "OWNER" });
/// table.Add({ "hire-assist", "hire-desk" });
/// out << table.Text();
/// \endcode
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> header);

  /// \param cells One cell for each column of the header; missing cells are left blank.
  void Add(std::vector<std::string> cells);

  [[nodiscard]] std::string Text() const;

private:
  std::vector<std::vector<std::string>> m_rows; ///< Starts with the header.
};

} // namespace gooseberrysail::impl
