package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.BitSet;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.chervillift.core.tasks.JobProgress.IndexRange;
import org.junit.jupiter.api.Test;

class IndexRangesTest {

    private static final int BOUND = 40;

    /** Compares the ranges with a bit set; a pair of indexes in either order is a range. */
    @Property(tries = 500, seed = "32")
    void holdsJustTheIndexesThatWereAdded(
            @ForAll @Size(max = 20) List<@IntRange(max = BOUND) Integer> indexes) {
        IndexRanges ranges = new IndexRanges();
        BitSet model = new BitSet();
        for (int i = 0; i + 1 < indexes.size(); i += 2) {
            int first = Math.min(indexes.get(i), indexes.get(i + 1));
            int last = Math.max(indexes.get(i), indexes.get(i + 1));
            if (i % 4 == 0) {
                ranges.addAll(new IndexRange(first, last));
                model.set(first, last + 1);
            } else {
                assertThat(ranges.add(first)).isEqualTo(!model.get(first));
                model.set(first);
            }
        }
        assertThat(ranges.size()).isEqualTo(model.cardinality());
        for (int i = 0; i <= BOUND; i++) {
            assertThat(ranges.contains(i)).isEqualTo(model.get(i));
            assertThat(ranges.nextMissing(i)).isEqualTo(model.nextClearBit(i));
        }
        List<IndexRange> list = ranges.toList();
        for (int i = 1; i < list.size(); i++) {
            assertThat(list.get(i).first()).isGreaterThan(list.get(i - 1).last() + 1);
        }
    }

    @Test
    void holdsTheHighestIndexesOfTheLargestStep() {
        IndexRanges ranges = new IndexRanges();
        int last = Integer.MAX_VALUE - 1;
        ranges.addAll(new IndexRange(0, last - 1));
        assertThat(ranges.nextMissing(0)).isEqualTo(last);
        ranges.add(last);
        assertThat(ranges.size()).isEqualTo(Integer.MAX_VALUE);
        assertThat(ranges.toList()).containsExactly(new IndexRange(0, last));
    }
}
