/** A load of callers on real processes, which judges what they were told against what ran. */
package org.chervillift.bench.load;
