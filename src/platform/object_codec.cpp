#include "platform/object_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

static bool isKeyCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '.' ||
         Character == '_' || Character == ':' || Character == '-';
}

bool isKeyPart(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxKeyLength &&
         std::all_of(Text.begin(), Text.end(), isKeyCharacter);
}

bool isWriter(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxKeyLength &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character > ' ' && Character <= '~';
         });
}

static std::string dump(const ordered_json &Json) {
  return Json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

static ordered_json toJson(const platform_object &Object) {
  return {{"kind", Object.Key.Kind},
          {"name", Object.Key.Name},
          {"version", Object.Version},
          {"writer", Object.Writer},
          {"sequence", Object.WriterSequence},
          {"deleted", Object.Deleted},
          {"body", Object.Body}};
}

std::string encodeObject(const platform_object &Object) {
  return dump(toJson(Object));
}

std::string encodeObjects(const platform_reply &Reply) {
  ordered_json Objects = ordered_json::array();
  for (const platform_object &Object : Reply.Objects)
    Objects.push_back(toJson(Object));
  return dump({{"version", Reply.StoreVersion}, {"objects", Objects}});
}

static bool readText(const json &Json, const char *Field, std::string &Text) {
  const auto Found = Json.find(Field);
  if (Found == Json.end() || !Found->is_string())
    return false;
  Text = Found->get<std::string>();
  return true;
}

static bool readNumber(const json &Json, const char *Field,
                       std::uint64_t &Number) {
  const auto Found = Json.find(Field);
  if (Found == Json.end() || !Found->is_number_unsigned())
    return false;
  Number = Found->get<std::uint64_t>();
  return true;
}

static bool readFlag(const json &Json, const char *Field, bool &Flag) {
  const auto Found = Json.find(Field);
  if (Found == Json.end() || !Found->is_boolean())
    return false;
  Flag = Found->get<bool>();
  return true;
}

static std::optional<platform_object> fromJson(const json &Json) {
  platform_object Object;
  if (Json.is_object() && readText(Json, "kind", Object.Key.Kind) &&
      readText(Json, "name", Object.Key.Name) &&
      readNumber(Json, "version", Object.Version) &&
      readText(Json, "writer", Object.Writer) &&
      readNumber(Json, "sequence", Object.WriterSequence) &&
      readFlag(Json, "deleted", Object.Deleted) &&
      readText(Json, "body", Object.Body))
    return Object;
  return std::nullopt;
}

static json parseQuietly(std::string_view Text) {
  return json::parse(Text, nullptr, /*allow_exceptions=*/false);
}

std::optional<platform_object> decodeObject(std::string_view Text) {
  return fromJson(parseQuietly(Text));
}

bool decodeObjects(std::string_view Text, platform_reply &Reply) {
  const json Json = parseQuietly(Text);
  if (!Json.is_object() || !readNumber(Json, "version", Reply.StoreVersion))
    return false;
  const auto Objects = Json.find("objects");
  if (Objects == Json.end() || !Objects->is_array())
    return false;
  for (const json &Item : *Objects) {
    auto Object = fromJson(Item);
    if (!Object)
      return false;
    Reply.Objects.push_back(std::move(*Object));
  }
  return true;
}

std::string encodeReason(std::string_view Reason) {
  return dump({{"reason", Reason}});
}

std::string decodeReason(std::string_view Text) {
  const json Json = parseQuietly(Text);
  std::string Reason;
  if (Json.is_object())
    readText(Json, "reason", Reason);
  return Reason;
}

} // namespace marjoramrail::internal
