/// @file
/// Changes one value in a YAML text and leaves the rest, comments included, as it is.
#ifndef CITRONSEAM_PROCESS_YAML_EDIT_H
#define CITRONSEAM_PROCESS_YAML_EDIT_H

#include <string>

#include "citronseam/process/error.h"

namespace citronseam {

/// Where a value stands: field `field` of the item called `item` in the list `list`.
struct yaml_place {
    std::string list;  ///< key of a list of mappings at the top of the document
    std::string item;  ///< value of the mapping's `name`
    std::string field; ///< key inside the mapping
};

/// Sets a value, adding the field after the item's name when it is absent.
/// @param text  the document, in block style
/// @param place where the value stands
/// @param value plain text that needs no quotes
/// @return the changed document, or an error when the place does not exist
result<std::string> set_yaml_value(const std::string& text, const yaml_place& place,
                                   const std::string& value);

} // namespace citronseam

#endif
