/** A surge over a shrunken pool, in virtual time. */
package org.chervillift.bench.surge;
