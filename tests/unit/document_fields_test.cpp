#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <vector>

namespace gooseberrysail {
namespace {

namespace fs = std::filesystem;

const fs::path kSource = GOOSEBERRYSAIL_SOURCE_DIR;

std::string ReadText(const fs::path& path)
{
  std::ifstream file(path);
  return { std::istreambuf_iterator<char>(file), {} };
}

/// The names of the members that the header's structs declare.
std::set<std::string> ListFields(const std::string& header)
{
  // A type, a name, and an initializer or the end of the declaration.
  static const std::regex kField(R"(^  [A-Za-z_:<>0-9, ]+[ >](\w+)( = [^;]*|\{[^;]*\})?;)",
                                 std::regex::multiline);
  std::set<std::string> fields;
  for (std::sregex_iterator field(header.begin(), header.end(), kField), end; field != end;
       ++field) {
    fields.insert((*field)[1]);
  }
  return fields;
}

/// The code that decides by the document: all but what reads and checks it.
std::vector<std::string> ListReaders()
{
  std::vector<std::string> texts;
  for (const auto& entry : fs::recursive_directory_iterator(kSource / "src")) {
    const bool isSource = entry.path().extension() == ".cpp" || entry.path().extension() == ".hpp";
    if (isSource && entry.path() != kSource / "src/serving/document.cpp") {
      texts.push_back(ReadText(entry.path()));
    }
  }
  return texts;
}

bool IsWordEnd(const std::string& text, std::size_t at)
{
  return at == text.size() ||
         (std::isalnum(static_cast<unsigned char>(text[at])) == 0 && text[at] != '_');
}

bool IsRead(const std::string& field, const std::vector<std::string>& texts)
{
  return std::ranges::any_of(texts, [&](const std::string& text) {
    for (const char* access : { ".", "->", "::" }) {
      const std::string read = access + field;
      for (std::size_t at = text.find(read); at != std::string::npos;
           at = text.find(read, at + 1)) {
        if (IsWordEnd(text, at + read.size())) {
          return true;
        }
      }
    }
    return false;
  });
}

// Guards against a field of the operators' configuration that is decoded and has no effect.
TEST(DocumentFields, EachHasAReader)
{
  const std::set<std::string> fields =
    ListFields(ReadText(kSource / "include/gooseberrysail/serving/document.hpp"));
  ASSERT_TRUE(fields.contains("headerTimeout"));
  ASSERT_TRUE(fields.contains("cacheTokens"));
  ASSERT_GT(fields.size(), 40U);
  const std::vector<std::string> readers = ListReaders();
  EXPECT_FALSE(IsRead("noSuchField", readers));
  // Targets are judged by their heartbeats and answers: a probe of their health takes a slot.
  const std::set<std::string> unused{ "healthPath" };
  for (const std::string& field : fields) {
    if (unused.contains(field)) {
      continue;
    }
    EXPECT_TRUE(IsRead(field, readers)) << field;
  }
}

} // namespace
} // namespace gooseberrysail
