#include "cli/text_table.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail::impl {

namespace {

constexpr std::size_t kGap = 2;

/// \brief Width in terminal columns, assuming one column for each UTF-8 code point.
std::size_t WidthOf(const std::string& text)
{
  constexpr unsigned kContinuationMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  return static_cast<std::size_t>(std::ranges::count_if(text, [](char byte) {
    return (static_cast<unsigned char>(byte) & kContinuationMask) != kContinuation;
  }));
}

// Cells contain names from the catalogue and from peers. Control characters in them are replaced,
// as a terminal would interpret them.
std::string Printable(std::string text)
{
  constexpr char kDelete = 0x7f;
  std::ranges::replace_if(
    text, [](char byte) { return (byte >= 0 && byte < ' ') || byte == kDelete; }, '?');
  return text;
}

} // namespace

TextTable::TextTable(std::vector<std::string> header)
{
  m_rows.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> cells)
{
  for (std::string& cell : cells) {
    cell = cell.empty() ? "-" : Printable(std::move(cell));
  }
  cells.resize(m_rows.front().size());
  m_rows.push_back(std::move(cells));
}

std::string TextTable::Text() const
{
  std::vector<std::size_t> widths(m_rows.front().size());
  for (const auto& row : m_rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], WidthOf(row[column]));
    }
  }
  std::string text;
  for (const auto& row : m_rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      text += row[column];
      if (column + 1 < row.size()) {
        text.append(widths[column] + kGap - WidthOf(row[column]), ' ');
      }
    }
    text += "\n";
  }
  return text;
}

} // namespace gooseberrysail::impl
