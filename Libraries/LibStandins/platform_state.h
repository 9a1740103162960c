#ifndef LIBSTANDINS_PLATFORM_STATE_H_
#define LIBSTANDINS_PLATFORM_STATE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibPlatform/platform_row.h"
#include "LibPlatform/vm_record.h"

namespace kingcupmill {

// The state of the platform stand-in: rows with compare-and-set, immutable
// blobs and the list of VMs.
class PlatformState {
 public:
  // Returns the row; its version is 0 when it was never written.
  PlatformRow ReadRow(std::string_view key) const;
  // Writes the row if its version is `expected`, and increments the version.
  WriteOutcome WriteRow(std::string_view key,
                        std::string_view value,
                        uint64_t expected);
  // Returns nothing when there is no such blob.
  std::optional<std::string> ReadBlob(std::string_view digest) const;
  // Stores a blob; keeps the existing text when the digest is stored already.
  void WriteBlob(std::string_view digest, std::string_view text);

  // Adds a VM or replaces the record of the same name.
  void SetVm(VmRecord record);
  void RemoveVm(std::string_view name);
  std::vector<VmRecord> vms() const;

  uint64_t read_count() const { return this->reads; }
  uint64_t write_count() const { return this->writes; }

 private:
  std::map<std::string, PlatformRow, std::less<>> rows;
  std::map<std::string, std::string, std::less<>> blobs;
  std::map<std::string, VmRecord, std::less<>> vm_records;
  mutable uint64_t reads = 0;
  uint64_t writes = 0;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_PLATFORM_STATE_H_
