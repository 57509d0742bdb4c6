package org.chervillift.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.chervillift.api.config.KeyRing;
import org.junit.jupiter.api.Test;

class KeyTableTest {

    private final Random random = new Random(1);
    private final NewKey glen = NewKey.make("glen", random);
    private final NewKey loch = NewKey.make("loch", random);

    @Test
    void findsTheTeamOfAKeyAndOfNoOtherText() {
        KeyTable table = new KeyTable(new KeyRing(2, List.of(glen.grant(), loch.grant())));

        assertThat(table.team(glen.key())).contains("glen");
        assertThat(table.team(loch.key())).contains("loch");
        assertThat(table.team("")).isEmpty();
        assertThat(table.team(glen.grant().id() + ".x")).isEmpty();
        assertThat(table.team(glen.grant().id() + loch.key().substring(12))).isEmpty();
        assertThat(table.team("-.x")).isEmpty();
        assertThat(table.team("x".repeat(KeyTable.MOST_KEY_LENGTH + 1))).isEmpty();
    }

    @Test
    void keepsAndShowsOnlyTheHash() {
        assertThat(glen.toString()).doesNotContain(glen.key());
        assertThat(glen.grant().toString()).doesNotContain(glen.key().substring(13));
    }

    @Test
    void repeatedChangesWriteOnce() {
        KeyRing one =
                ((KeyRingChange.Write) KeyRingChange.grant(KeyRing.EMPTY, glen.grant())).next();

        assertThat(KeyRingChange.grant(one, glen.grant()))
                .isEqualTo(new KeyRingChange.AlreadyDone());
        KeyRing two = ((KeyRingChange.Write) KeyRingChange.withdraw(one, glen.grant().id())).next();
        assertThat(two).isEqualTo(new KeyRing(2, List.of()));
        assertThat(KeyRingChange.withdraw(two, glen.grant().id()))
                .isEqualTo(new KeyRingChange.AlreadyDone());
    }
}
