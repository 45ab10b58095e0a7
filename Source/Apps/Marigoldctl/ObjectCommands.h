#pragma once

/// Commands on object documents: validate, schema and diff. Each throws CtlError when it fails.

#include "CommandContext.h"
#include "CtlError.h"
#include "Objects/Diff.h"
#include "Objects/ObjectParser.h"
#include "Objects/Types.h"

#include <string>
#include <vector>

namespace Ctl {

/// Validates the documents without a server.
ExitCode runValidate(CommandContext&);
/// Prints the JSON Schema for documents.
ExitCode runSchema(CommandContext&);
/// Compares the documents with the configuration in force.
ExitCode runDiff(CommandContext&);

/// Faults in operators' objects, each with its document and line. what() lists them all.
class InvalidObjectsError : public CtlError {
public:
    explicit InvalidObjectsError(std::vector<Objects::ObjectError>);

    const std::vector<Objects::ObjectError>& errors() const { return m_errors; }

private:
    std::vector<Objects::ObjectError> m_errors;
};

/// Reads and validates files and directories as one object set; throws InvalidObjectsError.
Objects::ParsedSet loadDocuments(const std::vector<std::string>& paths);

/// Parses the configuration that a server has in force; returns an empty set before the first publication. Throws CtlError when this
/// version can't read it, for example because a later version published it.
Objects::ObjectSet parseConfiguration(const Configuration&);

} // namespace Ctl
