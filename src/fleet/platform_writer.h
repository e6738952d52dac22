//===- platform_writer.h - Writes with a known outcome ----------*- C++ -*-===//
///
/// \file
/// The answer to a write can be lost although the write took effect. Assuming
/// that it failed would write twice or give up a lease that is held; assuming
/// that it succeeded would act on state that does not exist. The writer
/// therefore reads the object back until the outcome is known: the object holds
/// this writer's name and sequence number, still the expected version, or the
/// version of another writer.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_PLATFORM_WRITER_H
#define MARJORAMRAIL_FLEET_PLATFORM_WRITER_H

#include "marjoramrail/fleet.h"

namespace marjoramrail::internal {

enum class write_outcome {
  /// The object was written by this writer, even if it was overwritten since.
  Written,
  /// Another version is stored, and Object holds it. Nothing was written.
  Fenced,
  /// As far as known, nothing was written; retry later. A late copy of the
  /// write may still arrive. Since it is conditional, a later write of this
  /// process then fails as Fenced with its own name in the object.
  Unavailable,
  /// The platform refused the content.
  Refused,
};

struct write_result {
  write_outcome Outcome = write_outcome::Unavailable;
  platform_object Object;
  std::string Reason;
};

class platform_writer {
public:
  using callback = std::function<void(const write_result &)>;

  /// \p Name must be unique to this process; a restart uses another.
  platform_writer(timer_service &Timers, platform_api Platform,
                  std::string Name, fleet_counters &Counters);
  ~platform_writer();
  platform_writer(const platform_writer &) = delete;
  platform_writer &operator=(const platform_writer &) = delete;

  /// Writes if version \p Expected is stored. \p Callback runs exactly once,
  /// unless the writer is destroyed before.
  void write(const object_key &Key, std::string Body, std::uint64_t Expected,
             callback Callback);

  /// Reads an object and counts the call.
  void read(const object_key &Key, platform_callback Callback);

  /// True if this process wrote \p Object.
  bool wrote(const platform_object &Object) const;

private:
  struct attempt {
    platform_write Write;
    callback Callback;
    int ReadsLeft;
  };

  void answered(const std::shared_ptr<attempt> &Attempt,
                const platform_reply &Reply);
  void readBack(const std::shared_ptr<attempt> &Attempt);
  void resolve(const std::shared_ptr<attempt> &Attempt,
               const platform_reply &Reply);
  void retryReadBack(const std::shared_ptr<attempt> &Attempt);

  timer_service &Timers;
  platform_api Platform;
  std::string Name;
  fleet_counters &Counters;
  std::uint64_t Sequence = 0;
  /// Guards callbacks of the platform that arrive after this object is
  /// destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_PLATFORM_WRITER_H
