#pragma once

/// Parses JSON with comments into Settings and collects every issue.

#include "Kernel/Settings.h"
#include "Kernel/SettingsFields.h"

#include <string>
#include <vector>

namespace Json {
class Value;
}

namespace Kernel {

/// Parses one text, which must outlive the parser. parse() may be called once.
class SettingsParser {
public:
    SettingsParser(const std::string& text, std::string file);

    Common::Result<Settings, SettingsError> parse();

private:
    bool readDocument(Json::Value& root);
    void addSyntaxIssues(const std::string& report);
    void readRoot(const Json::Value& root);
    void checkCombinations(const Json::Value& root);
    void checkPlatform(const Json::Value& root);
    void checkTimings(const Json::Value& root);
    void checkNames(const Json::Value& root);

    template<typename Section>
    void readSection(const Json::Value& root, const std::string& name, Section&);
    template<typename Section>
    void readFields(const Json::Value&, const std::string& prefix, Section&);
    template<typename Section>
    void readField(const Json::Value&, const std::string& fieldPath, const Field<Section>&, Section&);
    template<typename Item>
    void readList(const Json::Value& section, const std::string& prefix, const char* name, std::vector<Item>&);
    void readLists(const Json::Value& root);

    void rejectUnknown(const Json::Value& object, const std::string& prefix, const std::vector<std::string>& known);
    void addIssue(const Json::Value& at, std::string field, std::string problem, std::string accepted);
    unsigned lineOf(const Json::Value&) const;

    const std::string& m_text;
    std::string m_file;
    Settings m_settings;
    std::vector<SettingsIssue> m_issues;
};

} // namespace Kernel
