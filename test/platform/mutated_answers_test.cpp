#include "mutated_json.h"
#include "platform/call.h"
#include "platform/object_codec.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;

TEST_CASE("a write with a mutated response is unknown, not failed or done") {
  // A proxy in front of the platform truncates or garbles responses. A write
  // whose response cannot be decoded may have taken effect, so that only
  // "unknown" is correct.
  const platform_object Object{
      {"service", "ledger"}, 7, "{}", "test", 3, false};
  mutated_json Mutations(encodeObject(Object), 1);
  call Write;
  Write.Verb = call_verb::Write;
  for (int I = 0; I < 4000; ++I) {
    const std::string Text = Mutations.next();
    const platform_reply Reply = replyTo(Write, {200, Text, ""});
    const bool Readable = decodeObject(Text).has_value();
    CHECK(Reply.Outcome ==
          (Readable ? platform_outcome::Ok : platform_outcome::Unknown));
  }
}

TEST_CASE("mutated lists are decoded completely or not at all") {
  platform_reply List;
  List.StoreVersion = 9;
  List.Objects = {{{"zone", "brugge"}, 7, "{}", "test", 3, false},
                  {{"zone", "oostende"}, 8, "{}", "test", 4, true}};
  mutated_json Mutations(encodeObjects(List), 1);
  call Call;
  Call.Verb = call_verb::Watch;
  for (int I = 0; I < 4000; ++I) {
    const platform_reply Reply = replyTo(Call, {200, Mutations.next(), ""});
    if (Reply.Outcome != platform_outcome::Ok)
      CHECK(Reply.Objects.empty());
  }
}
