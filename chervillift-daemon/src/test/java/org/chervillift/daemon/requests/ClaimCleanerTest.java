package org.chervillift.daemon.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimAction;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.junit.jupiter.api.Test;

class ClaimCleanerTest {

    private static final int CLAIMS = 500;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final Tables tables = new Tables();
    private final ClaimRowMapper rowMapper = new ClaimRowMapper("test");

    @Test
    void deletesOldClaimsAndKeepsThoseThatARepeatedRequestCanMatch() {
        scheduler.advance(Duration.ofHours(100));
        claim("old", scheduler.now().minus(Duration.ofHours(4)));
        ClaimCleaner cleaner = new ClaimCleaner(tables, scheduler, "test", new Random(1));
        cleaner.start(e -> {});

        scheduler.advance(Duration.ofHours(2));
        claim("young", scheduler.now());
        scheduler.advance(Duration.ofHours(2));

        assertThat(tables.identifiers()).hasSize(CLAIMS).allMatch(i -> i.startsWith("young"));
    }

    private void claim(String name, Instant at) {
        List<Claim> claims = new ArrayList<>();
        for (int i = 0; i < CLAIMS; i++) {
            claims.add(new Claim(ClaimKey.ofTeam("alpha", name + i), "d", "vm", at));
        }
        tables.commit(
                rowMapper.transaction(new ClaimAction.CommitClaims(at.getEpochSecond(), claims)));
    }

    private static final class Tables implements Platform {
        private final TreeMap<String, Row> rows = new TreeMap<>();

        List<String> identifiers() {
            return rows.values().stream()
                    .map(r -> ClaimRowMapper.parse(r).claim().key().identifier())
                    .toList();
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            for (Transaction.Write w : transaction.writes()) {
                String name = w.key().table() + "/" + w.key().key();
                w.value()
                        .ifPresentOrElse(
                                v -> rows.put(name, new Row(w.key(), 1, v)),
                                () -> rows.remove(name));
            }
            return CompletableFuture.completedFuture(new CommitResult.Committed());
        }

        @Override
        public CompletionStage<List<Row>> scan(String table) {
            return CompletableFuture.completedFuture(
                    rows.values().stream().filter(r -> r.key().table().equals(table)).toList());
        }

        @Override
        public CompletionStage<List<Row>> read(List<RowKey> keys) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Optional<String>> getObject(String name) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Void> putObject(String name, String content) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<List<ListedVm>> listVms() {
            throw new UnsupportedOperationException();
        }
    }
}
