#ifndef LIBPROXY_PRIMARY_ROW_H_
#define LIBPROXY_PRIMARY_ROW_H_

#include <string>
#include <string_view>

#include "LibCore/names.h"

namespace kingcupmill {

// The value of the platform's row that records the primary of a group.
std::string EncodePrimaryRow(const TargetName& primary, Term term);

// Returns the term in such a value; 0 if it has none, as another writer may
// have written it.
Term DecodePrimaryRowTerm(std::string_view value);

}  // namespace kingcupmill

#endif  // LIBPROXY_PRIMARY_ROW_H_
