#include "object_store.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramrail::standins {

using namespace internal;

static platform_reply outcome(platform_outcome Outcome, std::string Reason) {
  platform_reply Reply;
  Reply.Outcome = Outcome;
  Reply.Reason = std::move(Reason);
  return Reply;
}

const platform_object *
object_store::currentObject(const object_key &Key) const {
  const auto Found = Objects.find(Key);
  if (Found == Objects.end() || Found->second.back().Deleted)
    return nullptr;
  return &Found->second.back();
}

const platform_object *object_store::visible(const history &Versions) const {
  if (!MaxVisibleVersion)
    return &Versions.back();
  const auto Found = std::find_if(Versions.rbegin(), Versions.rend(),
                                  [&](const platform_object &Old) {
                                    return Old.Version <= *MaxVisibleVersion;
                                  });
  return Found == Versions.rend() ? nullptr : &*Found;
}

std::uint64_t object_store::visibleVersion() const {
  return MaxVisibleVersion ? std::min(*MaxVisibleVersion, Version) : Version;
}

platform_reply object_store::read(const object_key &Key) const {
  const auto Found = Objects.find(Key);
  const platform_object *Object =
      Found == Objects.end() ? nullptr : visible(Found->second);
  if (!Object || Object->Deleted)
    return outcome(platform_outcome::NotFound, "no such object");
  platform_reply Reply = outcome(platform_outcome::Ok, "");
  Reply.Object = *Object;
  Reply.StoreVersion = visibleVersion();
  return Reply;
}

static void sortByVersion(std::vector<platform_object> &Objects) {
  std::sort(Objects.begin(), Objects.end(),
            [](const platform_object &A, const platform_object &B) {
              return A.Version < B.Version;
            });
}

platform_reply object_store::list(const std::string &Kind) const {
  platform_reply Reply = outcome(platform_outcome::Ok, "");
  Reply.StoreVersion = visibleVersion();
  for (auto It = Objects.lower_bound({Kind, ""});
       It != Objects.end() && It->first.Kind == Kind; ++It) {
    const platform_object *Object = visible(It->second);
    if (Object && !Object->Deleted)
      Reply.Objects.push_back(*Object);
  }
  sortByVersion(Reply.Objects);
  return Reply;
}

platform_reply object_store::changes(std::uint64_t Since) const {
  platform_reply Reply = outcome(platform_outcome::Ok, "");
  Reply.StoreVersion = visibleVersion();
  for (auto It = KeysByVersion.upper_bound(Since); It != KeysByVersion.end();
       ++It) {
    const platform_object *Object = visible(Objects.at(It->second));
    if (Object && Object->Version > Since)
      Reply.Objects.push_back(*Object);
  }
  sortByVersion(Reply.Objects);
  return Reply;
}

platform_reply object_store::write(const platform_object &Object,
                                   std::uint64_t Expected) {
  if (!isKeyPart(Object.Key.Kind) || !isKeyPart(Object.Key.Name))
    return outcome(platform_outcome::Invalid, "kind or name is not allowed");
  if (Object.Body.size() > MaxObjectBytes)
    return outcome(platform_outcome::Invalid,
                   "expected at most " + std::to_string(MaxObjectBytes) +
                       " bytes, got " + std::to_string(Object.Body.size()));
  if (!nlohmann::json::accept(Object.Body))
    return outcome(platform_outcome::Invalid, "the body is not JSON");
  platform_object Next = Object;
  Next.Deleted = false;
  return change(Next, Expected);
}

platform_reply object_store::remove(const platform_object &Object,
                                    std::uint64_t Expected) {
  if (!currentObject(Object.Key))
    return outcome(platform_outcome::NotFound, "no such object");
  platform_object Next = Object;
  Next.Body.clear();
  Next.Deleted = true;
  return change(Next, Expected);
}

platform_reply object_store::change(const platform_object &Object,
                                    std::uint64_t Expected) {
  const platform_object *Old = currentObject(Object.Key);
  if ((Old ? Old->Version : 0) != Expected) {
    platform_reply Reply = outcome(platform_outcome::Conflict, "");
    Reply.Object.Key = Object.Key;
    if (Old)
      Reply.Object = *Old;
    return Reply;
  }
  history &Versions = Objects[Object.Key];
  if (!Versions.empty())
    KeysByVersion.erase(Versions.back().Version);
  Versions.push_back(Object);
  Versions.back().Version = ++Version;
  KeysByVersion[Version] = Object.Key;
  if (Versions.size() > VersionsKept)
    Versions.pop_front();
  platform_reply Reply = outcome(platform_outcome::Ok, "");
  Reply.Object = Versions.back();
  Reply.StoreVersion = Version;
  return Reply;
}

} // namespace marjoramrail::standins
