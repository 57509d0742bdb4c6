/** Decides which customers use more of a full pool than their weighted share. */
package org.chervillift.core.tasks.shares;
