/// @file
/// Changes one value in a YAML text and preserves the rest, comments included.
#ifndef CITRONSEAM_PROCESS_YAML_EDIT_H
#define CITRONSEAM_PROCESS_YAML_EDIT_H

#include <string>

#include "citronseam/process/error.h"

namespace citronseam {

/// Location of a value: `field` of the mapping named `item` in the list `list`.
struct yaml_location {
    std::string list;  ///< key of a list of mappings at the top level of the document
    std::string item;  ///< value of `name` in the mapping
    std::string field; ///< key inside the mapping
};

/// Sets a value. An absent field is inserted after the item's `name`.
/// @param text     the document, in block style
/// @param location location of the value
/// @param value    plain scalar that needs no quotes
/// @return the changed document, or an error when the item does not exist or the document is not
/// valid YAML
result<std::string> set_yaml_value(const std::string& text, const yaml_location& location,
                                   const std::string& value);

} // namespace citronseam

#endif
