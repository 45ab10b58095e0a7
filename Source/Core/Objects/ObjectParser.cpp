#include "Objects/ObjectParser.h"

#include "Objects/DocumentReader.h"
#include "Objects/FieldCodec.h"
#include "Objects/FieldTable.h"

#include <algorithm>
#include <utility>

namespace Objects {

namespace {

    template<typename T>
    std::string fieldNames(const KindTable<T>& table)
    {
        std::string names;
        for (const auto& field : table.fields)
            names += (names.empty() ? "one of: " : ", ") + std::string(field.name);
        return names;
    }

    std::string sectionNames()
    {
        std::string names;
        forEachKind([&](const auto& table) {
            names += (names.empty() ? "one of: " : ", ") + std::string(sectionName(table.kind));
        });
        return names;
    }

    /// Adds the objects of one document to the set.
    class SetBuilder {
    public:
        SetBuilder(const ParsedDocument& document, PartialSet& partial)
            : m_document(document)
            , m_partial(partial)
        {
        }

        void build()
        {
            if (!m_document.root.isObject()) {
                m_partial.complete = false;
                return addError(m_document.root, "", "", "the document is not an object", sectionNames());
            }
            forEachKind([this](const auto& table) { readSection(table); });
            for (const auto& key : m_document.root.getMemberNames())
                checkSectionName(key);
        }

    private:
        void addError(const Json::Value& json, std::string object, std::string_view field, std::string message, std::string accepted)
        {
            m_partial.errors.push_back({ m_document.name, m_document.lineOf(json), std::move(object), std::string(field), std::move(message), std::move(accepted) });
        }

        void checkSectionName(const std::string& key)
        {
            bool known = false;
            forEachKind([&](const auto& table) { known = known || sectionName(table.kind) == key; });
            if (known)
                return;
            m_partial.complete = false;
            addError(m_document.root[key], "", key, "unknown section", sectionNames());
        }

        template<typename T>
        void readSection(const KindTable<T>& table)
        {
            const std::string key(sectionName(table.kind));
            if (!m_document.root.isMember(key))
                return;
            const auto& section = m_document.root[key];
            if (!section.isArray()) {
                m_partial.complete = false;
                return addError(section, "", key, "not a list", "a list of objects");
            }
            for (const auto& json : section)
                readObject(table, json);
        }

        template<typename T>
        void readObject(const KindTable<T>& table, const Json::Value& json)
        {
            if (!json.isObject()) {
                m_partial.complete = false;
                return addError(json, std::string(kindName(table.kind)), "", "not an object", "an object with " + fieldNames(table));
            }
            T object;
            const bool named = json["name"].isString() && !decode(json["name"], object.name);
            const std::string title = std::string(kindName(table.kind)) + (named ? " " + object.name : std::string());
            for (const auto& field : table.fields)
                readField(table.kind, field, json, title, object);
            checkFieldNames(table, json, title);
            if (named)
                insert(table, json, title, std::move(object));
            else
                m_partial.complete = false;
        }

        template<typename T>
        void readField(ObjectKind kind, const Field<T>& field, const Json::Value& json, const std::string& title, T& object)
        {
            const std::string key(field.name);
            if (!json.isMember(key)) {
                if (field.presence == Presence::Required)
                    addError(json, title, key, "required field is missing", std::string(field.doc));
                return;
            }
            const auto& value = json[key];
            m_partial.parsed.sources.add({ kind, object.name, key }, { m_document.name, m_document.lineOf(value) });
            const auto accepted = visitField(object, field, [&](auto& target) { return decode(value, target); });
            if (accepted)
                addError(value, title, key, "invalid value", *accepted);
        }

        template<typename T>
        void checkFieldNames(const KindTable<T>& table, const Json::Value& json, const std::string& title)
        {
            for (const auto& key : json.getMemberNames()) {
                if (std::none_of(table.fields.begin(), table.fields.end(), [&](const auto& field) { return field.name == key; }))
                    addError(json[key], title, key, "unknown field", fieldNames(table));
            }
        }

        template<typename T>
        void insert(const KindTable<T>& table, const Json::Value& json, const std::string& title, T object)
        {
            const SourceKey key { table.kind, object.name, {} };
            const auto [it, inserted] = (m_partial.parsed.set.*table.objects).try_emplace(object.name, std::move(object));
            if (inserted)
                return m_partial.parsed.sources.add(key, { m_document.name, m_document.lineOf(json) });
            const auto first = m_partial.parsed.sources.find(key);
            addError(json["name"], title, "name", "the name is already used at " + first.document + ":" + std::to_string(first.line), "a name that is unique among objects of its kind");
        }

        const ParsedDocument& m_document;
        PartialSet& m_partial;
    };

} // namespace

PartialSet ObjectParser::parsePartially(const std::vector<Document>& documents)
{
    PartialSet partial;
    for (const auto& document : documents) {
        const auto read = DocumentReader::read(document.name, document.text);
        if (!read) {
            partial.complete = false;
            const auto& errors = read.error().all();
            partial.errors.insert(partial.errors.end(), errors.begin(), errors.end());
            continue;
        }
        SetBuilder(read.value(), partial).build();
    }
    return partial;
}

Common::Result<ParsedSet, ObjectErrors> ObjectParser::parse(const std::vector<Document>& documents)
{
    auto partial = parsePartially(documents);
    if (!partial.errors.empty())
        return ObjectErrors(std::move(partial.errors));
    return std::move(partial.parsed);
}

} // namespace Objects
