package org.chervillift.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.chervillift.api.config.KeyRing;
import org.junit.jupiter.api.Test;

class KeyTableTest {

    private final Random random = new Random(1);
    private final GeneratedKey glenKey = GeneratedKey.generate("glen", random);
    private final GeneratedKey lochKey = GeneratedKey.generate("loch", random);

    @Test
    void findsTheTeamOfValidKeysOnly() {
        KeyTable table = new KeyTable(new KeyRing(2, List.of(glenKey.grant(), lochKey.grant())));

        assertThat(table.findTeam(glenKey.key())).contains("glen");
        assertThat(table.findTeam(lochKey.key())).contains("loch");
        assertThat(table.findTeam("")).isEmpty();
        assertThat(table.findTeam(glenKey.grant().id() + ".x")).isEmpty();
        assertThat(table.findTeam(glenKey.grant().id() + lochKey.key().substring(12))).isEmpty();
        assertThat(table.findTeam("-.x")).isEmpty();
        assertThat(table.findTeam("x".repeat(KeyTable.MAX_KEY_LENGTH + 1))).isEmpty();
    }

    @Test
    void toStringDoesNotRevealTheKey() {
        assertThat(glenKey.toString()).doesNotContain(glenKey.key());
        assertThat(glenKey.grant().toString()).doesNotContain(glenKey.key().substring(13));
    }

    @Test
    void repeatedChangesLeaveTheRingUnchanged() {
        KeyRing granted =
                ((KeyRingChange.Write) KeyRingChange.grant(KeyRing.EMPTY, glenKey.grant())).next();

        assertThat(KeyRingChange.grant(granted, glenKey.grant()))
                .isEqualTo(new KeyRingChange.Unchanged());
        KeyRing withdrawn =
                ((KeyRingChange.Write) KeyRingChange.withdraw(granted, glenKey.grant().id()))
                        .next();
        assertThat(withdrawn).isEqualTo(new KeyRing(2, List.of()));
        assertThat(KeyRingChange.withdraw(withdrawn, glenKey.grant().id()))
                .isEqualTo(new KeyRingChange.Unchanged());
    }
}
