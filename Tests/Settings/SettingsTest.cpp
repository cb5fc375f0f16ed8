#include "Settings/Configuration.h"
#include "Settings/ProcessSettings.h"
#include "Settings/SettingsFile.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace Guavalock
{

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(invalidFilesPrintTheirErrors);
    CPPUNIT_TEST(demonstrationFilesAreValid);
    CPPUNIT_TEST(durationsNeedAUnit);
    CPPUNIT_TEST(endpointsAreChecked);
    CPPUNIT_TEST(localDaemonsAreThoseOfTheDataCentre);
    CPPUNIT_TEST(unreadableDocumentsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string content(const std::filesystem::path &path)
    {
        std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

public:
    void invalidFilesPrintTheirErrors()
    {
        std::size_t files = 0;
        for (const auto &it : std::filesystem::directory_iterator(GUAVALOCK_SOURCE_DIR "/Tests/Settings/Broken")) {
            if (it.path().extension() != ".yaml") {
                continue;
            }
            ++files;
            SettingsErrors errors;
            const std::optional<SettingsFile> file = SettingsFile::parse(content(it.path()), it.path().filename(), errors);
            if (file) {
                file->check(errors);
            }
            std::string printed;
            for (const SettingsError &error : errors) {
                printed += error.text() + "\n";
            }
            std::filesystem::path expected = it.path();
            expected.replace_extension(".expected");
            CPPUNIT_ASSERT_EQUAL(content(expected), printed);
        }
        CPPUNIT_ASSERT(files >= 10);
    }

    void demonstrationFilesAreValid()
    {
        for (const char *name : {"configuration", "daemon-north", "daemon-south", "daemon-west"}) {
            SettingsErrors errors;
            const std::string path = std::string(GUAVALOCK_SOURCE_DIR "/Utilities/Demo/") + name + ".yaml";
            const std::optional<SettingsFile> file = SettingsFile::load(path, errors);
            CPPUNIT_ASSERT(file);
            file->check(errors);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), errors.size());
        }
    }

    void durationsNeedAUnit()
    {
        using std::chrono::milliseconds;
        CPPUNIT_ASSERT(parseDuration("300ms") == milliseconds(300));
        CPPUNIT_ASSERT(parseDuration("8s") == milliseconds(8'000));
        CPPUNIT_ASSERT(parseDuration("2min") == milliseconds(120'000));
        CPPUNIT_ASSERT(!parseDuration("300"));
        CPPUNIT_ASSERT(!parseDuration("-1s"));
        CPPUNIT_ASSERT(!parseDuration("1.5s"));
    }

    void endpointsAreChecked()
    {
        CPPUNIT_ASSERT(Endpoint::parse("127.0.0.1:80"));
        CPPUNIT_ASSERT(Endpoint::parse("[::1]:80"));
        CPPUNIT_ASSERT(!Endpoint::parse("localhost:80"));
        CPPUNIT_ASSERT(!Endpoint::parse("127.0.0.1:0"));
        CPPUNIT_ASSERT(!Endpoint::parse("127.0.0.1:70000"));
        CPPUNIT_ASSERT(!Endpoint::parse("127.0.0.1"));
    }

    void localDaemonsAreThoseOfTheDataCentre()
    {
        ProcessSettings settings;
        settings.vm = "b";
        settings.dataCentre = "north";
        settings.peers = {{"a", "north", {}}, {"b", "north", {}}, {"c", "south", {}}};
        CPPUNIT_ASSERT((settings.neighbours() == std::vector<std::string>{"a", "b"}));
    }

    void unreadableDocumentsAreRejected()
    {
        const auto configuration = Configuration::build(
            {{"organisations/mill", "weight: 3"}, {"organisations/bad", "weight: many"}, {"organisation/typo", "weight: 3"}}, 9);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), configuration->organisations.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), configuration->organisations.at("mill").weight);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), configuration->rejected.count("organisations/bad"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), configuration->rejected.count("organisation/typo"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace Guavalock
