#include "Kernel/SettingsParser.h"

#include <algorithm>
#include <charconv>
#include <json/json.h>
#include <memory>
#include <set>
#include <sstream>
#include <type_traits>
#include <utility>

namespace Kernel {

namespace {

    template<typename Section>
    std::vector<std::string> fieldNames()
    {
        std::vector<std::string> names;
        for (const auto& field : fieldsOf<Section>())
            names.emplace_back(field.name);
        return names;
    }

    /// JSON names of the lists that a section type has in addition to its fields.
    template<typename Section>
    std::vector<std::string> listNames()
    {
        if constexpr (std::is_same_v<Section, PeersSection>)
            return { ListNames::seeds };
        if constexpr (std::is_same_v<Section, OperatorsSection>)
            return { ListNames::accounts };
        return {};
    }

    template<typename Section>
    std::vector<std::string> knownNames()
    {
        auto names = fieldNames<Section>();
        for (auto& name : listNames<Section>())
            names.push_back(std::move(name));
        return names;
    }

    bool assign(std::string& target, const Json::Value& value, const FieldRule& rule)
    {
        if (!value.isString() || !std::get<const TextForm*>(rule)->matches(value.asString()))
            return false;
        target = value.asString();
        return true;
    }

    bool assign(bool& target, const Json::Value& value, const FieldRule&)
    {
        if (!value.isBool())
            return false;
        target = value.asBool();
        return true;
    }

    bool isInRange(const Json::Value& value, const FieldRule& rule)
    {
        const auto& range = std::get<NumberRange>(rule);
        return value.isNumeric() && value.asDouble() >= range.minimum && value.asDouble() <= range.maximum;
    }

    bool assign(double& target, const Json::Value& value, const FieldRule& rule)
    {
        if (!isInRange(value, rule))
            return false;
        target = value.asDouble();
        return true;
    }

    bool assign(std::chrono::milliseconds& target, const Json::Value& value, const FieldRule& rule)
    {
        if (!isInRange(value, rule) || !value.isInt64())
            return false;
        target = std::chrono::milliseconds(value.asInt64());
        return true;
    }

    template<typename Integer>
    bool assign(Integer& target, const Json::Value& value, const FieldRule& rule)
    {
        if (!isInRange(value, rule) || !value.isUInt64())
            return false;
        target = static_cast<Integer>(value.asUInt64());
        return true;
    }

    std::string joinNames(const std::vector<std::string>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    constexpr const char* linePrefix = "* Line ";

} // namespace

SettingsParser::SettingsParser(const std::string& text, std::string file)
    : m_text(text)
    , m_file(std::move(file))
{
}

Common::Result<Settings, SettingsError> SettingsParser::parse()
{
    Json::Value root;
    if (m_text.find_first_not_of(" \t\r\n") == std::string::npos)
        m_issues.push_back({ m_file, 1, "", "the file is empty", "an object, { ... }" });
    else if (readDocument(root))
        readRoot(root);
    if (m_issues.empty())
        return std::move(m_settings);
    std::ranges::stable_sort(m_issues, {}, &SettingsIssue::line);
    return SettingsError(std::move(m_issues));
}

bool SettingsParser::readDocument(Json::Value& root)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["allowTrailingCommas"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string report;
    try {
        if (reader->parse(m_text.data(), m_text.data() + m_text.size(), &root, &report))
            return true;
    } catch (const Json::Exception& ex) {
        report = std::string(linePrefix) + "1, Column 1\n  " + ex.what();
    }
    addSyntaxIssues(report);
    return false;
}

/// Splits jsoncpp's report: each error is "* Line L, Column C" with indented lines of text below.
void SettingsParser::addSyntaxIssues(const std::string& report)
{
    const std::string prefix = linePrefix;
    std::istringstream stream(report);
    for (std::string text; std::getline(stream, text);) {
        if (text.starts_with(prefix)) {
            unsigned line = 1;
            std::from_chars(text.data() + prefix.size(), text.data() + text.size(), line);
            m_issues.push_back({ m_file, line, "", "", "JSON with comments, without repeated names or trailing commas" });
            continue;
        }
        const auto start = text.find_first_not_of(' ');
        if (m_issues.empty() || start == std::string::npos)
            continue;
        auto& problem = m_issues.back().problem;
        problem += (problem.empty() ? "" : " ") + text.substr(start);
    }
}

void SettingsParser::readRoot(const Json::Value& root)
{
    if (!root.isObject()) {
        addIssue(root, "", "the settings aren't an object", "an object, { ... }");
        return;
    }
    auto known = fieldNames<Settings>();
    forEachSection(m_settings, [&](const char* name, const auto&) { known.emplace_back(name); });
    rejectUnknown(root, "", known);
    readFields(root, "", m_settings);
    forEachSection(m_settings, [&](const char* name, auto& section) { readSection(root, name, section); });
    readLists(root);
    checkCombinations(root);
}

template<typename Section>
void SettingsParser::readSection(const Json::Value& root, const std::string& name, Section& section)
{
    static const Json::Value s_empty(Json::objectValue);
    const Json::Value* found = root.find(name.data(), name.data() + name.size());
    if (!found) {
        // The required fields of an absent section are missing too; report them at the root.
        readFields(s_empty, name + '.', section);
        return;
    }
    if (!found->isObject()) {
        addIssue(*found, name, "not an object", "an object, { ... }");
        return;
    }
    rejectUnknown(*found, name + '.', knownNames<Section>());
    readFields(*found, name + '.', section);
}

template<typename Section>
void SettingsParser::readFields(const Json::Value& object, const std::string& prefix, Section& section)
{
    for (const auto& field : fieldsOf<Section>())
        readField(object, prefix + field.name, field, section);
}

template<typename Section>
void SettingsParser::readField(const Json::Value& object, const std::string& fieldPath, const Field<Section>& field, Section& section)
{
    const auto assignTo = [&](auto member) {
        const std::string name = field.name;
        const Json::Value* value = object.find(name.data(), name.data() + name.size());
        if (!value) {
            if (field.presence == Presence::Required)
                addIssue(object, fieldPath, "missing", acceptedText(field));
            return;
        }
        if (!assign(section.*member, *value, field.rule))
            addIssue(*value, fieldPath, "not accepted", acceptedText(field));
    };
    std::visit(assignTo, field.member);
}

template<typename Item>
void SettingsParser::readList(const Json::Value& section, const std::string& prefix, const char* name, std::vector<Item>& items)
{
    const Json::Value& list = section[name];
    if (list.isNull() && !section.isMember(name))
        return;
    if (!list.isArray()) {
        addIssue(list, prefix + name, "not a list", "a list, [ ... ]");
        return;
    }
    for (Json::ArrayIndex n = 0; n < list.size(); ++n) {
        const std::string path = prefix + name + '[' + std::to_string(n) + ']';
        if (!list[n].isObject()) {
            addIssue(list[n], path, "not an object", "an object, { ... }");
            continue;
        }
        rejectUnknown(list[n], path + '.', knownNames<Item>());
        Item item;
        readFields(list[n], path + '.', item);
        items.push_back(std::move(item));
    }
}

void SettingsParser::readLists(const Json::Value& root)
{
    if (root["peers"].isObject())
        readList(root["peers"], "peers.", ListNames::seeds, m_settings.peers.seeds);
    if (root["operators"].isObject())
        readList(root["operators"], "operators.", ListNames::accounts, m_settings.operators.accounts);
}

void SettingsParser::checkCombinations(const Json::Value& root)
{
    checkPlatform(root);
    checkTimings(root);
    checkNames(root);
}

void SettingsParser::checkPlatform(const Json::Value& root)
{
    const Json::Value& section = root.isMember("platform") ? root["platform"] : root;
    if (!section.isObject() || section.get("kind", m_settings.platform.kind) != "etcd")
        return;
    if (!section.isMember("keyValueAddress"))
        addIssue(section, "platform.keyValueAddress", "missing for \"etcd\"", "an IPv4 address and port, or kind \"embedded\"");
    if (!section.isMember("hostListAddress"))
        addIssue(section, "platform.hostListAddress", "missing for \"etcd\"", "an IPv4 address and port, or kind \"embedded\"");
}

void SettingsParser::checkTimings(const Json::Value& root)
{
    const auto& limits = m_settings.limits;
    const auto minimumSuspectAfter = 2 * limits.heartbeat;
    if (limits.suspectAfter < minimumSuspectAfter)
        addIssue(root["limits"], "limits.suspectAfterMilliseconds", "shorter than two heartbeats", "at least " + std::to_string(minimumSuspectAfter.count()));
    if (limits.viewLease <= limits.suspectAfter)
        addIssue(root["limits"], "limits.viewLeaseMilliseconds", "not longer than suspectAfterMilliseconds", "more than " + std::to_string(limits.suspectAfter.count()));
}

void SettingsParser::checkNames(const Json::Value& root)
{
    std::set<std::string> hosts { m_settings.host };
    for (const auto& seed : m_settings.peers.seeds) {
        if (!seed.host.empty() && !hosts.insert(seed.host).second)
            addIssue(root["peers"]["seeds"], "peers.seeds", "host \"" + seed.host + "\" is listed twice or is this host", "other hosts, each listed once");
    }
    std::set<std::string> names;
    std::set<std::string> tokens;
    for (const auto& account : m_settings.operators.accounts) {
        if (!account.name.empty() && !names.insert(account.name).second)
            addIssue(root["operators"]["accounts"], "operators.accounts", "operator \"" + account.name + "\" is listed twice", "each name once");
        if (!account.token.empty() && !tokens.insert(account.token).second)
            addIssue(root["operators"]["accounts"], "operators.accounts", "operator \"" + account.name + "\" has the token of another operator", "a different token for each operator");
    }
}

void SettingsParser::rejectUnknown(const Json::Value& object, const std::string& prefix, const std::vector<std::string>& known)
{
    for (auto it = object.begin(); it != object.end(); ++it) {
        if (std::ranges::find(known, it.name()) == known.end())
            addIssue(*it, prefix + it.name(), "unknown setting", joinNames(known));
    }
}

void SettingsParser::addIssue(const Json::Value& at, std::string field, std::string problem, std::string accepted)
{
    m_issues.push_back({ m_file, lineOf(at), std::move(field), std::move(problem), std::move(accepted) });
}

unsigned SettingsParser::lineOf(const Json::Value& value) const
{
    const auto offset = std::min(static_cast<std::size_t>(std::max<std::ptrdiff_t>(value.getOffsetStart(), 0)), m_text.size());
    const auto end = m_text.begin() + static_cast<std::ptrdiff_t>(offset);
    return 1 + static_cast<unsigned>(std::count(m_text.begin(), end, '\n'));
}

} // namespace Kernel
