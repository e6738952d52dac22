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
  BOOST_LEAF_CHECK(checkName(Kind, Name));
  return settings_reader::fromText(Json, std::string(Kind) + "/" + Name,
                                   step::ValidateObject);
}

result<void> checkObject(resource_kind Kind, std::string_view Json,
                         const std::string &Name) {
  switch (Kind) {
  case resource_kind::Service: {
    BOOST_LEAF_CHECK(parseService(Json, Name));
    return {};
  }
  case resource_kind::Zone: {
    BOOST_LEAF_CHECK(parseZone(Json, Name));
    return {};
  }
  case resource_kind::Drain: {
    BOOST_LEAF_CHECK(parseDrain(Json, Name));
    return {};
  }
  }
  return {};
}

} // namespace marjoramrail
