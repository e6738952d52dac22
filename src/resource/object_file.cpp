#include "resource/object_reader.h"

#include <nlohmann/json.hpp>
#include <set>

namespace marjoramrail {

using json = nlohmann::json;

namespace {

/// Reads the objects of one file and collects all errors.
class file_reader {
public:
  void add(const json &Item, std::size_t Index);
  void checkTogether();

  std::vector<resource_object> Objects;
  std::vector<std::string> Faults;

private:
  void checkSpec(const resource_object &Object);

  std::set<std::string> Seen;
  std::vector<service_spec> Services;
};

} // namespace

static std::string textField(const json &Item, const char *Field) {
  const auto Found = Item.find(Field);
  return Found != Item.end() && Found->is_string() ? Found->get<std::string>()
                                                   : "";
}

static std::string faultAt(const std::string &Place, const std::string &Field,
                           const char *Reason) {
  return (Place + "field ").append(Field).append(": ").append(Reason);
}

void file_reader::add(const json &Item, std::size_t Index) {
  const std::string Place = "object " + std::to_string(Index + 1) + ": ";
  if (!Item.is_object()) {
    Faults.push_back(Place + "expected {\"kind\", \"name\", \"spec\"}");
    return;
  }
  for (const auto &[Field, Value] : Item.items())
    if (Field != "kind" && Field != "name" && Field != "spec")
      Faults.push_back(faultAt(Place, Field, "is not known here"));
  const auto Kind = valueNamed(ResourceKindNames, textField(Item, "kind"));
  if (!Kind) {
    Faults.push_back(
        faultAt(Place, "kind", "expected \"service\", \"zone\" or \"drain\""));
    return;
  }
  const auto Spec = Item.find("spec");
  if (Spec == Item.end() || !Spec->is_object()) {
    Faults.push_back(faultAt(Place, "spec", "expected an object"));
    return;
  }
  resource_object Object{*Kind, textField(Item, "name"), Spec->dump()};
  checkSpec(Object);
  Objects.push_back(std::move(Object));
}

void file_reader::checkSpec(const resource_object &Object) {
  const std::string Key =
      std::string(nameOf(ResourceKindNames, Object.Kind)) + "/" + Object.Name;
  if (!Seen.insert(Key).second)
    Faults.push_back(Key + ": is defined twice in the file");
  const auto Failure = failureOf([&]() -> result<void> {
    if (Object.Kind != resource_kind::Service)
      return checkObject(Object.Kind, Object.Spec, Object.Name);
    BOOST_LEAF_AUTO(Service, parseService(Object.Spec, Object.Name));
    Services.push_back(Service);
    return {};
  });
  if (Failure)
    Faults.push_back(Failure->Peer + ": " + Failure->Reason);
}

void file_reader::checkTogether() {
  for (std::size_t I = 0; I < Services.size(); ++I) {
    const std::vector<service_spec> Before(
        Services.begin(), Services.begin() + static_cast<std::ptrdiff_t>(I));
    const auto Failure =
        failureOf([&] { return checkAgainst(Services[I], Before); });
    if (Failure)
      Faults.push_back(Failure->Peer + ": " + Failure->Reason);
  }
}

result<std::vector<resource_object>> parseObjectFile(std::string_view Text,
                                                     const std::string &File) {
  json Content;
  if (auto Parsed = parseJson(Text, File, step::ValidateObject, Content);
      !Parsed)
    return Parsed.error();
  file_reader Reader;
  if (Content.is_array())
    for (std::size_t I = 0; I < Content.size(); ++I)
      Reader.add(Content[I], I);
  else
    Reader.add(Content, 0);
  Reader.checkTogether();
  if (Reader.Objects.empty() && Reader.Faults.empty())
    Reader.Faults.emplace_back("contains no object");
  if (Reader.Faults.empty())
    return std::move(Reader.Objects);
  std::string Reason;
  for (const std::string &Fault : Reader.Faults)
    Reason += (Reason.empty() ? "" : "; ") + Fault;
  return fail(step::ValidateObject, File, Reason);
}

} // namespace marjoramrail
