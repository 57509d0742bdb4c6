/** Small stand-ins for the platform and for upstreams, with faults that can be switched on. */
package org.chervillift.standin;
