#include "object_files.h"

#include <algorithm>
#include <map>
#include <set>

namespace marjoramrail::ctl {

object_key keyOf(const resource_object &Object) {
  return {std::string(nameOf(ResourceKindNames, Object.Kind)), Object.Name};
}

static int orderOf(resource_kind Kind) {
  switch (Kind) {
  case resource_kind::Zone:
    return 0;
  case resource_kind::Service:
    return 1;
  case resource_kind::Drain:
    return 2;
  }
  return 2;
}

/// An object in two files is refused: one file would overwrite the other.
static bool reportDuplicates(ctl_context &Context,
                             const std::vector<resource_object> &Objects) {
  std::set<object_key> Seen;
  bool Repeats = false;
  for (const resource_object &Object : Objects) {
    if (Seen.insert(keyOf(Object)).second)
      continue;
    printFailure(Context, {step::ValidateObject, toText(keyOf(Object)),
                           "stands in more than one file"});
    Repeats = true;
  }
  return Repeats;
}

std::optional<std::vector<resource_object>>
readObjectFiles(ctl_context &Context, const std::vector<std::string> &Paths) {
  std::vector<resource_object> All;
  bool Faulty = false;
  for (const std::string &Path : Paths) {
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Text, Context.ReadFile(Path));
      BOOST_LEAF_AUTO(Objects, parseObjectFile(Text, Path));
      All.insert(All.end(), Objects.begin(), Objects.end());
      return {};
    });
    if (Failure)
      printFailure(Context, *Failure);
    Faulty |= Failure.has_value();
  }
  if (reportDuplicates(Context, All) || Faulty)
    return std::nullopt;
  std::stable_sort(All.begin(), All.end(),
                   [](const resource_object &A, const resource_object &B) {
                     return orderOf(A.Kind) < orderOf(B.Kind);
                   });
  return All;
}

namespace {

/// The objects that would be stored after \p Objects have been applied.
struct stored_objects {
  std::map<std::string, service_spec> Services;
  std::set<std::string> Zones;
};

} // namespace

static stored_objects readStored(const std::vector<platform_object> &Services,
                                 const std::vector<platform_object> &Zones) {
  stored_objects Stored;
  for (const platform_object &Object : Services)
    // A stored object that cannot be parsed is skipped. It must not prevent an
    // operator from applying the object that repairs it.
    static_cast<void>(failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Spec, parseService(Object.Body, Object.Key.Name));
      Stored.Services[Spec.Name] = Spec;
      return {};
    }));
  for (const platform_object &Object : Zones)
    Stored.Zones.insert(Object.Key.Name);
  return Stored;
}

static result<void> checkService(const resource_object &Object,
                                 stored_objects &Stored) {
  BOOST_LEAF_AUTO(Spec, parseService(Object.Spec, Object.Name));
  std::vector<service_spec> Others;
  for (const auto &[Name, Service] : Stored.Services)
    Others.push_back(Service);
  if (auto Checked = checkAgainst(Spec, Others); !Checked)
    return Checked.error();
  for (const std::string &Zone : Spec.Zones)
    if (Stored.Zones.count(Zone) == 0)
      return fail(step::ValidateObject, "service/" + Spec.Name,
                  "field zones: there is no zone " + Zone);
  Stored.Services[Spec.Name] = Spec;
  return {};
}

bool checkTogether(ctl_context &Context,
                   const std::vector<resource_object> &Objects,
                   const std::vector<platform_object> &StoredServices,
                   const std::vector<platform_object> &StoredZones) {
  stored_objects Stored = readStored(StoredServices, StoredZones);
  for (const resource_object &Object : Objects)
    if (Object.Kind == resource_kind::Zone)
      Stored.Zones.insert(Object.Name);
  bool Right = true;
  for (const resource_object &Object : Objects) {
    if (Object.Kind != resource_kind::Service)
      continue;
    const auto Failure =
        failureOf([&] { return checkService(Object, Stored); });
    if (Failure)
      printFailure(Context, *Failure);
    Right &= !Failure;
  }
  return Right;
}

} // namespace marjoramrail::ctl
