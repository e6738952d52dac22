#include "resource/object_reader.h"
#include "resource/limits.h"

#include <algorithm>

namespace marjoramrail {

static bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '-';
}

bool internal::isName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameLength && Name[0] != '-' &&
         std::all_of(Name.begin(), Name.end(), isNameCharacter);
}

result<void> checkName(std::string_view Kind, std::string_view Name) {
  if (internal::isName(Name))
    return {};
  return fail(step::ValidateObject, std::string(Kind) + "/" + std::string(Name),
              std::string("field name: ") + internal::NameRule);
}

result<settings_reader> internal::openObject(std::string_view Kind,
                                             const std::string &Name,
                                             std::string_view Json) {
  if (auto Checked = checkName(Kind, Name); !Checked)
    return Checked.error();
  return settings_reader::fromText(Json, std::string(Kind) + "/" + Name,
                                   step::ValidateObject);
}

/// Discards the object and returns only whether it could be read.
template <typename Object> static result<void> outcomeOf(result<Object> Read) {
  if (!Read)
    return Read.error();
  return {};
}

result<void> checkObject(resource_kind Kind, std::string_view Json,
                         const std::string &Name) {
  switch (Kind) {
  case resource_kind::Service:
    return outcomeOf(parseService(Json, Name));
  case resource_kind::Zone:
    return outcomeOf(parseZone(Json, Name));
  case resource_kind::Drain:
    return outcomeOf(parseDrain(Json, Name));
  }
  return {};
}

} // namespace marjoramrail
