/** The decisions: pure functions of state, event and present time. */
package org.chervillift.core;
