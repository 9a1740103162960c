#ifndef LIBSTATEMENT_ERROR_NAMES_H_
#define LIBSTATEMENT_ERROR_NAMES_H_

#include <string_view>

#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// Returns the name of an error code in logs and metrics.
std::string_view ToString(StatementErrorCode code);

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_ERROR_NAMES_H_
