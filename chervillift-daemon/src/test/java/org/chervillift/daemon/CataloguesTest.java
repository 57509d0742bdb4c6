package org.chervillift.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.chervillift.api.ErrorCode;
import org.chervillift.daemon.internal.DaemonSettings;
import org.chervillift.daemon.tasks.FleetSettings;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.settings.Setting;
import org.junit.jupiter.api.Test;

/** Checks that the tables of events, errors and settings in the docs match the code. */
class CataloguesTest {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void eventTableMatchesTheCode() throws IOException {
        List<String> expected =
                events().map(e -> row(e.number(), e.level().name(), e.meaning())).toList();

        assertThat(expected).isNotEmpty().doesNotHaveDuplicates();
        assertThat(firstCells(DOCS.resolve("EVENTS.md"), 3))
                .containsExactlyInAnyOrderElementsOf(expected);
    }

    @Test
    void eventNumbersAreUnique() {
        assertThat(events().map(Event::number).toList()).doesNotHaveDuplicates();
    }

    @Test
    void errorTableMatchesTheCode() throws IOException {
        List<String> expected =
                Arrays.stream(ErrorCode.values())
                        .map(e -> row(e.number(), e.httpStatus(), e.sentence()))
                        .toList();

        assertThat(firstCells(DOCS.resolve("ERRORS.md"), 3))
                .containsExactlyInAnyOrderElementsOf(expected);
    }

    @Test
    void settingTableMatchesTheCode() throws IOException {
        List<String> expected =
                DaemonSettings.SCHEMA.settings().stream().map(CataloguesTest::settingRow).toList();

        assertThat(firstCells(DOCS.resolve("SETTINGS.md"), 5))
                .containsExactlyInAnyOrderElementsOf(expected);
    }

    @Test
    void fleetSettingTableMatchesTheCode() throws IOException {
        List<String> expected =
                FleetSettings.SCHEMA.settings().stream().map(CataloguesTest::settingRow).toList();

        assertThat(firstCells(DOCS.resolve("FLEET-SETTINGS.md"), 5))
                .containsExactlyInAnyOrderElementsOf(expected);
    }

    private static String settingRow(Setting s) {
        return row(
                s.section(),
                s.name(),
                s.defaultValue().map(d -> d.isEmpty() ? "(empty)" : d).orElse("(must be given)"),
                s.type().allowed(),
                s.meaning());
    }

    private static Stream<Event> events() {
        return new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages("org.chervillift")
                        .stream()
                        .filter(c -> c.isEnum() && c.isAssignableTo(Event.class))
                        .map(JavaClass::reflect)
                        .flatMap(c -> Arrays.stream(c.getEnumConstants()))
                        .map(Event.class::cast);
    }

    private static String row(Object... cells) {
        return String.join(" | ", Arrays.stream(cells).map(String::valueOf).toList());
    }

    /**
     * Returns the first cells of each table row except the header; the last cell must not be blank.
     */
    private static List<String> firstCells(Path page, int count) throws IOException {
        return Files.readAllLines(page).stream()
                .filter(l -> l.startsWith("| ") && !l.startsWith("| ---"))
                .map(l -> Arrays.stream(l.split("\\|")).map(String::strip).skip(1).toList())
                .filter(cells -> !cells.getFirst().equals("number"))
                .filter(cells -> !cells.getFirst().equals("section"))
                .peek(cells -> assertThat(cells.getLast()).as(page + " " + cells).isNotBlank())
                .map(cells -> row(cells.subList(0, count).toArray()))
                .toList();
    }
}
