//===- mutated_json.h - Mutated JSON texts from a fixed seed ----*- C++ -*-===//
///
/// \file
/// Generates almost valid JSON for tests of parsers: bytes are changed, removed
/// or repeated, and values are replaced by ones that are difficult to parse.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_MUTATED_JSON_H
#define MARJORAMRAIL_TEST_MUTATED_JSON_H

#include <array>
#include <random>
#include <string>

namespace marjoramrail {

/// Generates mutations of one valid text.
class mutated_json {
public:
  mutated_json(std::string Original, std::uint64_t Seed)
      : Original(std::move(Original)), Random(Seed) {}

  /// Returns the next text: the original with one to four mutations.
  std::string next() {
    std::string Text = Original;
    for (std::size_t Count = 1 + below(4); Count > 0; --Count)
      mutate(Text);
    return Text;
  }

private:
  std::size_t below(std::size_t Bound) { return Random() % Bound; }

  void mutate(std::string &Text) {
    if (Text.empty())
      Text = Original;
    const std::size_t At = below(Text.size());
    const std::size_t Length = 1 + below(12);
    switch (below(6)) {
    case 0:
      Text[At] = static_cast<char>(below(256));
      break;
    case 1:
      Text.erase(At, Length);
      break;
    case 2:
      Text.insert(At, Text.substr(below(Text.size()), Length));
      break;
    case 3:
      Text.resize(At);
      break;
    case 4:
      replaceValue(Text, At);
      break;
    default:
      Text.insert(At, token());
      break;
    }
  }

  /// Replaces the value after the next colon by a token.
  void replaceValue(std::string &Text, std::size_t At) {
    const std::size_t Colon = Text.find(':', At);
    if (Colon == std::string::npos)
      return;
    const std::size_t End = Text.find_first_of(",}", Colon);
    Text.replace(Colon + 1,
                 (End == std::string::npos ? Text.size() : End) - Colon - 1,
                 token());
  }

  std::string token() {
    static const std::array<std::string, 16> Tokens = {"null",
                                                       "true",
                                                       "-1",
                                                       "0",
                                                       "1e999",
                                                       "18446744073709551616",
                                                       "-9223372036854775809",
                                                       "1.5",
                                                       "\"\"",
                                                       "\"\\u0000\"",
                                                       "\"\\ud800\"",
                                                       "[]",
                                                       "{}",
                                                       "/*",
                                                       "[[[[[[[[",
                                                       "\"a\":"};
    const std::size_t Chosen = below(Tokens.size() + 1);
    return Chosen == Tokens.size() ? std::string(5000, '[') : Tokens[Chosen];
  }

  std::string Original;
  std::mt19937_64 Random;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_TEST_MUTATED_JSON_H
