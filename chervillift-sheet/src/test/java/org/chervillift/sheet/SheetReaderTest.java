package org.chervillift.sheet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Objective;
import org.chervillift.api.config.Pool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class SheetReaderTest {

    private static final Path SAMPLE = Path.of("..", "samples", "fleet.csv");

    private static final String SMALL =
            """
            kind,name,pool,share,limit,open,min_available_percent,spare,good_percent,within_ms,note
            pool,proofs,,,,,75,no,,,f\u00fcr Proofs
            queue,proof,proofs,,,no,,,,,
            objective,proof,,,,,,,99.5,2000,
            end,,,,,,,,,,
            """;

    @Test
    void readsTheSample() throws IOException {
        FleetConfig config = accepted(Files.readAllBytes(SAMPLE));

        assertThat(config.teams()).hasSize(3);
        assertThat(config.pools()).contains(new Pool("proofs", 75, false));
        assertThat(config.vms()).extracting("dataCentre").contains("dc-a", "dc-b");
    }

    static Stream<Arguments> exports() throws IOException {
        byte[] plain = SMALL.getBytes(StandardCharsets.UTF_8);
        byte[] mark = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};
        String semicolons = SMALL.replace(',', ';').replace("99.5", "99,5");
        String wide = SMALL.replace("\n", ",,,\n");
        String quoted =
                SMALL.replace("f\u00fcr Proofs", "\"a \"\"quote\"\",\r\nand a second line\"");
        return Stream.of(
                Arguments.of("UTF-8", plain),
                Arguments.of("UTF-8 with mark", join(mark, plain)),
                Arguments.of(
                        "UTF-16 big-endian with mark", SMALL.getBytes(StandardCharsets.UTF_16)),
                Arguments.of(
                        "UTF-16 little-endian without mark",
                        SMALL.getBytes(StandardCharsets.UTF_16LE)),
                Arguments.of("Windows-1252", SMALL.getBytes(Charset.forName("windows-1252"))),
                Arguments.of("semicolons and decimal comma", utf8(semicolons)),
                Arguments.of("delimiter line", utf8("sep=;\r\n" + semicolons)),
                Arguments.of("tabs", utf8(SMALL.replace(',', '\t'))),
                Arguments.of("CRLF", utf8(SMALL.replace("\n", "\r\n"))),
                Arguments.of("CR", utf8(SMALL.replace("\n", "\r"))),
                Arguments.of("trailing empty columns", utf8(wide)),
                Arguments.of("blank rows", utf8(SMALL.replace("\n", "\n,,,\n\n"))),
                Arguments.of("quoted line break", utf8(quoted)),
                Arguments.of("header in capitals", utf8(SMALL.replace("kind,name", "KIND,Name"))),
                Arguments.of("header with spaces", utf8(SMALL.replace("good_p", " Good P"))),
                Arguments.of(
                        "truth values of a German user", utf8(SMALL.replace(",no,", ",FALSCH,"))),
                Arguments.of("percent sign", utf8(SMALL.replace(",75,", ",75\u00a0%,"))),
                Arguments.of("no last line break", utf8(SMALL.strip())));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("exports")
    void readsWhatSpreadsheetsExport(String name, byte[] bytes) {
        FleetConfig config = accepted(bytes);

        assertThat(config.pools()).containsExactly(new Pool("proofs", 75, false));
        assertThat(config.objectives()).containsExactly(new Objective("proof", 99.5, 2000));
    }

    @Test
    void refusesEveryErrorAtOnceWithItsPlace() {
        SheetResult.Refused refused =
                refused(
                        """
                        kind;name;pool;share;limit;open
                        team;glen;;1.000;5;
                        team;GLEN;;2;-1;

                        queue;proof;nowhere;;;maybe
                        machine;x;;;;
                        team;fizz;packs;1;1;
                        end;;;;;
                        """);

        assertThat(refused.errors())
                .extracting(e -> e.row() + " " + e.column() + " " + e.value())
                .containsExactly(
                        "2 share 1.000",
                        "3 name GLEN",
                        "3 limit -1",
                        "5 open maybe",
                        "5 pool nowhere",
                        "6 kind machine",
                        "7 pool packs");
        assertThat(refused.errors()).allSatisfy(e -> assertThat(e.allowed()).isNotBlank());
    }

    @ParameterizedTest
    @CsvSource({"1.000", "'1,000'", "1 000", "1e3", "=1+1", "#REF!", "12.0", "''", "1000001"})
    void refusesNumbersThatCouldMeanSomethingElse(String share) {
        String sheet = "kind;name;share;limit\nteam;glen;" + share + ";5\nend;;;\n";

        assertThat(refused(sheet).errors()).extracting(SheetError::column).contains("share");
    }

    @Test
    void refusesASheetThatIsCutAnywhere() throws IOException {
        byte[] whole = Files.readAllBytes(SAMPLE);
        int end = new String(whole, StandardCharsets.UTF_8).indexOf("\nend") + "\nend".length();

        for (int length = 0; length < end; length++) {
            byte[] cut = java.util.Arrays.copyOf(whole, length);
            assertThat(SheetReader.read(cut)).isInstanceOf(SheetResult.Refused.class);
        }
    }

    @Test
    void refusesUnknownAndDoubledColumns() {
        SheetResult.Refused refused = refused("kind,name,colour,name\nend,,,\n");

        assertThat(refused.errors())
                .extracting(SheetError::line)
                .anyMatch(l -> l.startsWith("row 1, column colour"))
                .anyMatch(l -> l.startsWith("row 1, column name"));
    }

    @Test
    void refusesOpenQuotesAndStrayCells() {
        assertThat(refused("kind,name\nteam,\"a\nend,\n").errors())
                .anyMatch(e -> e.allowed().equals("quotes in pairs"));
        assertThat(refused("kind,name\nend,,5\n").errors())
                .anyMatch(e -> e.row() == 2 && e.value().equals("5"));
    }

    @Test
    void boundsSizeAndErrors() {
        assertThat(SheetReader.read(new byte[SheetReader.MOST_BYTES + 1]))
                .isInstanceOf(SheetResult.Refused.class);
        SheetResult.Refused many = refused("kind,name\n" + "bad,x\n".repeat(19_000) + "end,\n");
        assertThat(many.errors()).hasSize(SheetReader.MOST_ERRORS);
        assertThat(many.total()).isEqualTo(19_000);
    }

    private static FleetConfig accepted(byte[] bytes) {
        SheetResult result = SheetReader.read(bytes);
        assertThat(result).isInstanceOf(SheetResult.Read.class);
        return ((SheetResult.Read) result).config();
    }

    private static SheetResult.Refused refused(String sheet) {
        SheetResult result = SheetReader.read(utf8(sheet));
        assertThat(result).isInstanceOf(SheetResult.Refused.class);
        return (SheetResult.Refused) result;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] join(byte[] first, byte[] second) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(first);
        out.writeBytes(second);
        return out.toByteArray();
    }
}
