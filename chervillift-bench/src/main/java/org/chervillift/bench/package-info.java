/** The load and experiment tool. */
package org.chervillift.bench;
