#ifndef LIBTOML_FORWARD_H_
#define LIBTOML_FORWARD_H_

namespace kingcupmill {

class TomlDocument;
class TomlSection;
struct SettingError;

}  // namespace kingcupmill

#endif  // LIBTOML_FORWARD_H_
