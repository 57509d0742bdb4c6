/** A stand-in for an upstream: slots, connections, and faults. */
package org.chervillift.standin.upstream;
