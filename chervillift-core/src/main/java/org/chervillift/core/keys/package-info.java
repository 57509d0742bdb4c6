/** Keys of teams: how they are made and checked, and how a process knows that its ring is fresh. */
package org.chervillift.core.keys;
