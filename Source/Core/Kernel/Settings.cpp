#include "Kernel/Settings.h"

#include "Kernel/SettingsFields.h"
#include "Kernel/SettingsParser.h"

#include <fstream>
#include <sstream>
#include <type_traits>

namespace Kernel {

namespace {

    std::string defaultText(const std::string& value) { return value.empty() ? "none" : value; }
    std::string defaultText(std::chrono::milliseconds value) { return std::to_string(value.count()); }
    std::string defaultText(bool value) { return value ? "true" : "false"; }

    template<typename Number>
    std::string defaultText(const Number& value)
    {
        std::ostringstream stream;
        stream << value;
        return stream.str();
    }

    template<typename Section>
    void appendHelp(std::ostream& stream, const std::string& prefix, const Section& defaults)
    {
        for (const auto& field : fieldsOf<Section>()) {
            const auto defaultValue = std::visit([&](auto member) { return defaultText(defaults.*member); }, field.member);
            const bool required = field.presence == Presence::Required;
            stream << prefix << field.name << "\n    " << field.description << "\n    Accepts "
                   << acceptedText(field) << ". " << (required ? "Required." : "Default: " + defaultValue + '.') << '\n';
        }
    }

} // namespace

Common::Result<Settings, SettingsError> Settings::create(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (stream)
        text << stream.rdbuf();
    if (!stream || stream.bad() || text.fail())
        return SettingsError({ { path, 0, "", "can't be read or is empty", "a readable file of JSON with comments" } });
    return parse(text.str(), path);
}

Common::Result<Settings, SettingsError> Settings::parse(const std::string& text, const std::string& name)
{
    return SettingsParser(text, name).parse();
}

std::string Settings::help()
{
    std::ostringstream stream;
    appendHelp(stream, "", Settings {});
    const Settings defaults;
    forEachSection(defaults, [&](const std::string& name, const auto& section) { appendHelp(stream, name + '.', section); });
    appendHelp(stream, "peers.seeds[].", PeerSeed {});
    appendHelp(stream, "operators.accounts[].", OperatorAccount {});
    return stream.str();
}

} // namespace Kernel
