/** What the processes share around the HTTP library: the event loop, JSON, clients, answers. */
package org.chervillift.http;
