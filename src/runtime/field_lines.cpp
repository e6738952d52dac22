#include "runtime/field_lines.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

namespace {

/// Passes a text to the parser byte by byte and counts the lines it has read.
class counting_iterator {
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  counting_iterator(const char *At, int *Line) : At(At), Line(Line) {}

  reference operator*() const { return *At; }
  counting_iterator &operator++() {
    *Line += *At == '\n';
    ++At;
    return *this;
  }
  counting_iterator operator++(int) {
    const counting_iterator Before = *this;
    ++*this;
    return Before;
  }
  bool operator==(const counting_iterator &Other) const {
    return At == Other.At;
  }
  bool operator!=(const counting_iterator &Other) const {
    return At != Other.At;
  }

private:
  const char *At;
  int *Line;
};

/// An object or list that the parser has not read to its end.
struct open_value {
  bool IsList = false;
  /// For an object: the field that is being read.
  std::string Field;
  /// For a list: the number of items read so far.
  std::size_t Items = 0;
};

/// Tracks the path of the field that the parser is reading.
class path_tracker {
public:
  void begin(bool IsList) { Open.push_back({IsList, "", 0}); }
  void end() {
    Open.pop_back();
    item();
  }
  void item() {
    if (!Open.empty() && Open.back().IsList)
      ++Open.back().Items;
  }
  /// Enters a field of the innermost object and returns its path.
  std::string enter(const std::string &Field) {
    Open.back().Field = Field;
    std::string Path;
    for (const open_value &Value : Open)
      Path += Value.IsList ? "[" + std::to_string(Value.Items) + "]"
                           : (Path.empty() ? "" : ".") + Value.Field;
    return Path;
  }

private:
  std::vector<open_value> Open;
};

} // namespace

field_lines::field_lines(std::string_view Text) {
  int Line = 1;
  path_tracker Path;
  const auto Note = [&](int, json::parse_event_t Event, json &Parsed) {
    switch (Event) {
    case json::parse_event_t::object_start:
      Path.begin(/*IsList=*/false);
      break;
    case json::parse_event_t::array_start:
      Path.begin(/*IsList=*/true);
      break;
    case json::parse_event_t::object_end:
    case json::parse_event_t::array_end:
      Path.end();
      break;
    case json::parse_event_t::value:
      Path.item();
      break;
    case json::parse_event_t::key: {
      const std::string Field = Path.enter(Parsed.get<std::string>());
      const auto [Place, IsFirst] = Lines.try_emplace(Field, Line);
      if (!IsFirst)
        Repeated.push_back({Field, Line, Place->second});
      break;
    }
    }
    return true;
  };
  // Only the parser's callbacks are needed, not the document.
  [[maybe_unused]] const json Document =
      json::parse(counting_iterator(Text.data(), &Line),
                  counting_iterator(Text.data() + Text.size(), &Line), Note,
                  /*allow_exceptions=*/false, /*ignore_comments=*/true);
}

std::optional<int> field_lines::lineOf(const std::string &Field) const {
  const auto Found = Lines.find(Field);
  return Found == Lines.end() ? std::nullopt : std::optional(Found->second);
}

} // namespace marjoramrail::internal
