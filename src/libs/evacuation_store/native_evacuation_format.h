// The product's native format of evacuations: one key, whose value lists the
// data centres as a JSON array.
#ifndef EVACUATION_STORE_NATIVE_EVACUATION_FORMAT_H_
#define EVACUATION_STORE_NATIVE_EVACUATION_FORMAT_H_

#include "evacuation_store/evacuation_format.h"

namespace chestnutport::evacuation_store {

class NativeEvacuationFormat {
 public:
  explicit NativeEvacuationFormat(const std::string& fleet);

  std::string Prefix() const { return key_; }
  std::optional<DataCentres> Read(
      std::span<const store::StoreEntry> entries) const;
  bool IsWrittenByNodes() const { return true; }

  // Returns the value of the key.
  static std::string Write(const DataCentres& data_centres);
  // Returns nothing if `text` is not an array of strings.
  static std::optional<DataCentres> Parse(const std::string& text);

 private:
  std::string key_;
};

}  // namespace chestnutport::evacuation_store

#endif  // EVACUATION_STORE_NATIVE_EVACUATION_FORMAT_H_
