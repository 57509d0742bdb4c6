/** The decision logic, as pure functions of the state, an event and the current time. */
package org.chervillift.core;
