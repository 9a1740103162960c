#include "LibCore/cbor.h"

#include <string>
#include <utility>
#include <vector>

namespace kingcupmill {

using nlohmann::json;

namespace {

// Several times the nesting of any message between processes.
constexpr size_t kMaximumDepth = 64;

// Builds a value from the events of the parser. Stops the parser, by returning
// false, at a container beyond the maximum depth.
class ValueBuilder final : public nlohmann::json_sax<json> {
 public:
  bool null() override { return this->Add(nullptr); }
  bool boolean(bool value) override { return this->Add(value); }
  bool number_integer(int64_t value) override { return this->Add(value); }
  bool number_unsigned(uint64_t value) override { return this->Add(value); }
  bool number_float(double value, const std::string& /*text*/) override {
    return this->Add(value);
  }
  bool string(std::string& value) override {
    return this->Add(std::move(value));
  }
  bool binary(json::binary_t& value) override {
    return this->Add(std::move(value));
  }
  bool start_object(size_t /*size*/) override {
    return this->Open(json::object());
  }
  bool start_array(size_t /*size*/) override {
    return this->Open(json::array());
  }
  bool key(std::string& value) override {
    this->member = std::move(value);
    return true;
  }
  bool end_object() override { return this->CloseContainer(); }
  bool end_array() override { return this->CloseContainer(); }
  bool parse_error(size_t /*position*/,
                   const std::string& /*token*/,
                   const json::exception& exception) override {
    this->failure = exception.what();
    return false;
  }

  json TakeValue() { return std::move(this->root); }
  const std::string& error() const { return this->failure; }

 private:
  // Adds a value to the innermost open container.
  bool Add(json value) {
    this->Place(std::move(value));
    return true;
  }

  bool Open(json container) {
    if (this->open.size() == kMaximumDepth) {
      this->failure = "the value is nested too deeply";
      return false;
    }
    this->open.push_back(&this->Place(std::move(container)));
    return true;
  }

  bool CloseContainer() {
    this->open.pop_back();
    return true;
  }

  json& Place(json value) {
    if (this->open.empty())
      return this->root = std::move(value);
    json& container = *this->open.back();
    if (container.is_object())
      return container[std::move(this->member)] = std::move(value);
    container.push_back(std::move(value));
    return container.back();
  }

  json root;
  // From the outermost to the innermost. Values are only added to the last one,
  // so the pointers stay valid.
  std::vector<json*> open;
  // The key of the next value in an object.
  std::string member;
  std::string failure;
};

}  // namespace

Result<json> DecodeCbor(std::span<const uint8_t> bytes) {
  ValueBuilder builder;
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder,
                       json::input_format_t::cbor))
    return Fail(ErrorCode::kInvalidInput, builder.error());
  return builder.TakeValue();
}

}  // namespace kingcupmill
