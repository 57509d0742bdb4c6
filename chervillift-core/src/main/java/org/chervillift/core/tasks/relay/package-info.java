/** Decides to which other entry VM a caller's request is relayed, and what the caller is told. */
package org.chervillift.core.tasks.relay;
